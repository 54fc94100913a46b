package org.wigeontally.gateway;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;

import org.testng.annotations.Test;

import org.wigeontally.schema.generated.Address;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * The start of an entry while another process holds one of its ports.
 */
public class StartTests {

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

}
