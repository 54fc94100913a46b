package org.wigeontally.gateway;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.ExecutionException;

import org.testng.annotations.Test;

import org.wigeontally.schema.generated.Address;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * The start of an entry while another process holds one of its ports.
 */
public class StartTests {

	private static final int NO_PORT = 70_000;

	/** Guards against requests that are taken by a process which ends at once. */
	@Test
	public void entryThatCannotStartAcceptsNoCallers() throws Exception {
		GatewayFixture fixture = new GatewayFixture();
		try (DatagramSocket other = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
			Address front = GatewayFixture.freeAddress();
			assertThatThrownBy(() -> fixture.startEntryAt(front, other.getLocalPort())).isNotNull();
			assertThatThrownBy(() -> new Socket(front.getIp(), front.getPort()).close())
				.isInstanceOf(IOException.class);
		}
		finally {
			fixture.close();
		}
	}

	/** Guards against a process that neither listens nor ends. */
	@Test
	public void startThatThrowsFails() throws Exception {
		GatewayFixture fixture = new GatewayFixture();
		try {
			assertThatThrownBy(() -> fixture.startEntryAt(GatewayFixture.freeAddress(), NO_PORT))
				.isInstanceOf(ExecutionException.class);
		}
		finally {
			fixture.close();
		}
	}

}
