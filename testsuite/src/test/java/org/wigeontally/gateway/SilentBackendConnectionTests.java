package org.wigeontally.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Future;
import io.vertx.core.net.NetSocket;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against one lost request for each idle connection to a backend server after all
 * of them have gone silent.
 */
public class SilentBackendConnectionTests {

	private static final int CONNECTIONS = 4;

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.fixture.writeConfiguration();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	@Test
	public void onlyOneRequestMeetsASilentConnection() throws Exception {
		Set<NetSocket> silent = ConcurrentHashMap.newKeySet();
		Set<NetSocket> used = ConcurrentHashMap.newKeySet();
		AtomicBoolean slow = new AtomicBoolean();
		this.fixture.startBackend("desk-1", "desk", "zone-a", (arrival, socket) -> {
			used.add(socket);
			if (!silent.contains(socket)) {
				this.fixture.vertx()
					.setTimer(slow.get() ? 200 : 1, (id) -> socket.write(FakeBackend.response(arrival, "200 OK",
							FakeBackend.signatureHeader("s") + "Keep-Alive: timeout=60\r\n", "ok")));
			}
		});
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "once", 200);
		slow.set(true);
		List<Future<TestCaller.Response>> calls = new ArrayList<>();
		for (int i = 0; i < CONNECTIONS; i++) {
			calls.add(this.fixture.send(0, "once", "warm-" + i, GatewayFixture.API_KEY, "body"));
		}
		GatewayFixture.await(Future.all(calls));
		slow.set(false);
		silent.addAll(used);
		Thread.sleep(50);
		assertThat(this.fixture.call("once").status()).isEqualTo(504);
		assertThat(this.fixture.call("once").status()).isEqualTo(200);
	}

}
