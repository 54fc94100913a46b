package org.wigeontally.gateway;

import io.vertx.core.Future;
import io.vertx.grpc.server.GrpcServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.FleetGrpcService;
import org.wigeontally.schema.generated.FleetService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An entry that knows of a newer configuration and does not get it, while another entry
 * of its region has it.
 */
public class OutdatedConfigurationTests {

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.fixture.writeConfiguration();
		this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "plain", 200);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	@Test
	public void entryThatMissesAConfigurationSendsNoRequestWhereItNoLongerMayRun() throws Exception {
		assertThat(this.fixture.call("other").status()).isEqualTo(404);
		NewerEntry newer = new NewerEntry(GatewayFixture.freeAddress());
		GatewayFixture.await(this.fixture.vertx()
			.createHttpServer()
			.requestHandler(GrpcServer.server(this.fixture.vertx()).addService(FleetGrpcService.of(newer)))
			.listen(newer.address.getPort(), newer.address.getIp()));
		this.fixture.addEntryAddress(0, newer.address);
		// The newer configuration may have the route.
		this.fixture.awaitStatus(0, "other", 503);
		assertThat(this.fixture.call("plain").status()).isEqualTo(200);
		this.fixture.awaitStatus(0, "plain", 503);
		assertThat(this.fixture.get(this.fixture.settings(0).getReady(), "/wigeontally/ready").status()).isEqualTo(503);
		this.fixture.writeConfiguration();
		newer.version = 2;
		this.fixture.awaitStatus(0, "plain", 200);
		assertThat(this.fixture.get(this.fixture.settings(0).getReady(), "/wigeontally/ready").status()).isEqualTo(200);
	}

	private static final class NewerEntry extends FleetService {

		private final Address address;

		private volatile int version = 99;

		private NewerEntry(Address address) {
			this.address = address;
		}

		@Override
		public Future<EntryNews> exchange(EntryNews request) {
			return Future.succeededFuture(EntryNews.newBuilder()
				.setHost("newer")
				.setControl(this.address)
				.setRegion("region-a")
				.setZone("zone-a")
				.setReady(true)
				.setConfigurationVersion(this.version)
				.build());
		}

	}

}
