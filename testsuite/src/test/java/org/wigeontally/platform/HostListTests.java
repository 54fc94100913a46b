package org.wigeontally.platform;

import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.Router;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.configuration.KeyRing;
import org.wigeontally.control.ControlNode;
import org.wigeontally.control.ControlSettings;
import org.wigeontally.control.HostListFollower;
import org.wigeontally.emulator.experiment.Ports;
import org.wigeontally.emulator.platform.HostListServer;
import org.wigeontally.emulator.platform.MemoryLog;
import org.wigeontally.http.DaemonServer;
import org.wigeontally.misc.Clock;
import org.wigeontally.misc.Closer;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.HostIdentity;
import org.wigeontally.schema.generated.Role;
import org.wigeontally.settings.Addresses;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that entry hosts without configured peers find each other through the platform's
 * host list, although the list shows changes with a delay. The test fails if the listed
 * addresses are not added to the exchange peers.
 */
public class HostListTests {

	private static final long TIMEOUT_MS = 10_000;

	private Closer closer;

	private Vertx vertx;

	private HttpClient client;

	@BeforeMethod
	public void start() {
		this.closer = Closer.create();
		this.vertx = Vertx.vertx();
		this.closer.add(() -> await(this.vertx.close()));
		this.client = this.vertx.createHttpClient();
	}

	@AfterMethod
	public void stop() throws Exception {
		this.closer.close();
	}

	@Test
	public void hostsWithoutConfiguredPeersFindEachOtherThroughDelayedHostList() throws Exception {
		Address hostListAddress = Ports.free();
		await(HostListServer.start(this.vertx, hostListAddress, 200));
		MemoryLog log = MemoryLog.create(Clock.system(), 1);
		ControlNode first = startEntryHost("e1", log, hostListAddress);
		ControlNode second = startEntryHost("e2", log, hostListAddress);
		long endMs = System.currentTimeMillis() + TIMEOUT_MS;
		while ((first.view().hosts().size() < 2 || second.view().hosts().size() < 2)
				&& System.currentTimeMillis() < endMs) {
			Thread.sleep(50);
		}
		assertThat(first.view().hosts()).extracting((hostState) -> hostState.getHost().getHost()).contains("e1", "e2");
		assertThat(second.view().hosts()).extracting((hostState) -> hostState.getHost().getHost()).contains("e1", "e2");
	}

	private ControlNode startEntryHost(String name, MemoryLog log, Address hostListAddress) throws Exception {
		Address address = Ports.free();
		HostIdentity self = HostIdentity.newBuilder()
			.setHost(name)
			.setRegion("r")
			.setZone("z")
			.setRole(Role.ENTRY)
			.setAddress(address)
			.build();
		ControlSettings settings = new ControlSettings(self, List.of(), TimeUnit.HOURS.toMillis(1));
		ControlNode node = await(ControlNode.start(this.vertx, settings, log, KeyRing.acceptingAll(), Clock.system()));
		Router router = Router.router(this.vertx);
		router.route().handler((context) -> context.end());
		await(DaemonServer.start(this.vertx, address, node.handler(), router));
		this.closer.add(HostListFollower.start(this.vertx, hostListAddress, node));
		String registrationUri = "/hosts?host=" + name + "&role=entry&address=" + Addresses.format(address);
		await(this.client.request(HttpMethod.POST, hostListAddress.getPort(), hostListAddress.getIp(), registrationUri)
			.compose((request) -> request.send()));
		return node;
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

}
