package org.wigeontally.gateway;

import java.util.concurrent.atomic.AtomicReference;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.wire.WireNames;

import static org.assertj.core.api.Assertions.assertThat;

/** An entry places requests by work once an engine has told its speed. */
public class ScheduledServiceTests {

	private static final String FIRST_EVENTS = "wigeontally_first_event_ratio_count{service=\"engines\"}";

	private static final String TOKENS = "wigeontally_answer_tokens_ratio_count{service=\"engines\"}";

	private final AtomicReference<String> load = new AtomicReference<>();

	private GatewayFixture fixture;

	@BeforeMethod
	public void start() throws Exception {
		this.fixture = new GatewayFixture();
		this.load.set("1,0,16");
		this.fixture.writeConfiguration();
		this.fixture.startBackend("engine-1", "engines", "zone-a",
				(arrival,
						socket) -> socket.write(FakeBackend.eventStreamHead(arrival,
								FakeBackend.signatureHeader("s") + WireNames.LOAD + ": " + this.load.get() + "\r\n")
								+ FakeBackend.eventChunks(0, 3) + FakeBackend.LAST_CHUNK));
		this.fixture.startEntry();
		this.fixture.awaitStatus(0, "events", 200);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.fixture.close();
	}

	/** Guards against services without a trait that are placed by work. */
	@Test
	public void threeFiguresChangeNothing() throws Exception {
		assertThat(this.fixture.call("events").status()).isEqualTo(200);
		assertThat(metrics()).doesNotContain(FIRST_EVENTS);
	}

	/**
	 * Guards against predictions and lengths that are not recorded, or fail a request.
	 */
	@Test
	public void fourthFigureStartsPlacementByWork() throws Exception {
		this.load.set("1,0,16,250");
		assertThat(this.fixture.call("events").status()).isEqualTo(200);
		for (String odd : new String[] { "1,0,16", "1,0,16,", "x,0,16,250", "1,0,16,99999999999" }) {
			this.load.set(odd);
			assertThat(this.fixture.call("events").status()).as(odd).isEqualTo(200);
		}
		// The first request was placed before the figure arrived.
		assertThat(metrics()).contains(FIRST_EVENTS + " 4").contains(TOKENS + " 4");
	}

	private String metrics() throws Exception {
		return this.fixture.get(this.fixture.metricsAddress(0), "/metrics").body();
	}

}
