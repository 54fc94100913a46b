package org.wigeontally.gateway;

import java.util.List;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that run with any key, or with none, once the last API key is
 * taken away.
 */
public class RevokedKeyTests {

	private GatewayFixture fixture;

	private FakeBackend backend;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.fixture.writeConfiguration();
		this.backend = this.fixture.startBackend("desk-1", "desk", "zone-a", GatewayFixture.respondWithSuccess("ok"));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "once", 200);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	private static JsonObject organisation(String name, String... keys) {
		return new JsonObject().put("name", name).put("api-keys", new JsonArray(List.of(keys)));
	}

	@DataProvider
	public Object[][] organisationsWithoutKeys() {
		return new Object[][] { { new JsonArray().add(organisation("org-a")).add(organisation("org-b")) },
				{ new JsonArray().add(new JsonObject().put("name", "org-a")) }, { new JsonArray() },
				{ new JsonArray().add(organisation("org-a", "")) } };
	}

	@Test(dataProvider = "organisationsWithoutKeys")
	public void noRequestRunsWithoutAValidKey(JsonArray organisations) throws Exception {
		this.fixture.writeOrganisations(organisations);
		this.fixture.awaitStatus(0, "once", 401);
		for (String key : new String[] { GatewayFixture.API_KEY, "key-of-nobody", "", null }) {
			assertThat(this.fixture.call(0, "once", "revoked-" + key, key, "revoked").status()).isEqualTo(401);
		}
		assertThat(GatewayFixture.countArrivals(List.of(this.backend), "revoked")).isZero();
	}

	@Test
	public void keysThatAreGivenAgainAreValid() throws Exception {
		this.fixture.writeOrganisations(new JsonArray().add(organisation("org-a")));
		this.fixture.awaitStatus(0, "once", 401);
		this.fixture.writeOrganisations(new JsonArray().add(organisation("org-a", GatewayFixture.API_KEY)));
		this.fixture.awaitStatus(0, "once", 200);
	}

	/** A configuration without the list of organisations asks for no keys. */
	@Test
	public void requestsNeedNoKeyIfThereIsNoListOfOrganisations() throws Exception {
		this.fixture.writeOrganisations(new JsonArray());
		this.fixture.awaitStatus(0, "once", 401);
		this.fixture.writeOrganisations(null);
		GatewayFixture.awaitTrue(() -> {
			try {
				return this.fixture.call(0, "once", "open-" + System.nanoTime(), null, "open").status() == 200;
			}
			catch (Exception ex) {
				return false;
			}
		});
	}

}
