package org.wigeontally.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.buffer.Buffer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.TestCaller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Callers that use an entry until its process is gone, with requests short enough to be
 * taken until then.
 */
public class ProcessEndTests {

	private static final int CALLERS = 24;

	/** So short that the entry is often idle, and may end at any time. */
	private static final long ANSWER_MS = 3;

	private static final int MAX_PAUSE_MS = 100;

	private static final int WHOLE_GRACE_S = 10;

	private final AtomicInteger requests = new AtomicInteger();

	private final Queue<String> unanswered = new ConcurrentLinkedQueue<>();

	@DataProvider
	public Object[][] signalsWhileDraining() {
		return new Object[][] { { false }, { true } };
	}

	/**
	 * Guards against requests that are sent on while the process exits, and cut, also
	 * beside further signals and a settings file that is being written.
	 */
	@Test(dataProvider = "signalsWhileDraining")
	public void requestsThatABackendServerGotAreAnsweredUntilTheProcessIsGone(boolean signals) throws Exception {
		this.requests.set(0);
		this.unanswered.clear();
		GatewayFixture fixture = new GatewayFixture();
		fixture.writeConfiguration();
		FakeBackend backend = fixture.startBackend("desk-1", "desk", "zone-a", (arrival, socket) -> fixture
			.later(ANSWER_MS, () -> socket.write(Buffer.buffer(FakeBackend.signedResponse(arrival, "ok")))));
		ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
		try (ShippedProcess entry = ShippedProcess.start(fixture.store().port(), List.of())) {
			GatewayFixture.awaitTrue(() -> call(entry, "first-" + System.nanoTime()) == 200);
			for (int i = 0; i < CALLERS; i++) {
				callers.submit(() -> callUntilGone(entry));
			}
			entry.signal("TERM");
			if (signals) {
				entry.disturbUntilGone(WHOLE_GRACE_S);
			}
			assertThat(entry.process().waitFor(WHOLE_GRACE_S, TimeUnit.SECONDS)).isTrue();
			callers.shutdown();
			assertThat(callers.awaitTermination(WHOLE_GRACE_S, TimeUnit.SECONDS)).isTrue();
		}
		finally {
			callers.shutdownNow();
			fixture.close();
		}
		List<String> arrived = backend.receivedRequests().stream().map(FakeBackend.ReceivedRequest::attemptId).toList();
		assertThat(this.unanswered).as("of %d requests", this.requests.get()).doesNotContainAnyElementsOf(arrived);
	}

	private void callUntilGone(ShippedProcess entry) {
		while (entry.process().isAlive() && !Thread.currentThread().isInterrupted()) {
			String id = "id-" + this.requests.incrementAndGet();
			if (call(entry, id) == KeptConnection.NO_ANSWER) {
				this.unanswered.add(id);
			}
			pause();
		}
	}

	private static void pause() {
		try {
			Thread.sleep(ThreadLocalRandom.current().nextInt(MAX_PAUSE_MS));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static int call(ShippedProcess entry, String id) {
		try (KeptConnection connection = KeptConnection.open(entry.front())) {
			connection.send(TestCaller.requestText("GET /once/x", id, GatewayFixture.API_KEY, "", ""));
			return connection.readStatus();
		}
		catch (IOException ex) {
			return KeptConnection.NO_ANSWER;
		}
	}

}
