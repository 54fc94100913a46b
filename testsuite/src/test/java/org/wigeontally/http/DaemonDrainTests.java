package org.wigeontally.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.wigeontally.agent.AgentDaemon;
import org.wigeontally.emulator.experiment.Ports;
import org.wigeontally.emulator.platform.LogServer;
import org.wigeontally.emulator.platform.MemoryLog;
import org.wigeontally.entry.EntryDaemon;
import org.wigeontally.misc.Clock;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.BackendKind;
import org.wigeontally.schema.generated.BackendSettings;
import org.wigeontally.schema.generated.EntrySettings;
import org.wigeontally.schema.generated.PlatformSettings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Drains of the daemons of the project's own interface. Once a drain has completed, the
 * process exits, so whatever the daemon has taken by then must be answered.
 */
public class DaemonDrainTests {

	private static final int READ_TIMEOUT_MS = 10_000;

	private static final int DRAIN_MS = 3_000;

	/** Longer than the time for which an agent or an entry announces its end. */
	private static final long AGENT_CLOSING_MS = 3_500;

	private static final long ENTRY_CLOSING_MS = 6_500;

	private static final int SHORT_NOTICE_MS = 300;

	/** More than the buffers of the two sockets take. */
	private static final int LARGE_ANSWER_BYTES = 32 << 20;

	private static final int PART_BYTES = 1 << 20;

	private static final String HEAD = "POST %s HTTP/1.1\r\nHost: x\r\nWigeontally-Dispatch: d\r\nContent-Length: 4\r\n\r\n";

	private Vertx vertx;

	private Address address;

	@BeforeMethod
	public void start() throws Exception {
		this.vertx = Vertx.vertx();
		this.address = Ports.free();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		await(this.vertx.close());
	}

	/** Guards against requests whose bodies are being read when the agent ends. */
	@Test
	public void dispatchWhoseBodyIsBeingSentIsAnsweredBeforeTheAgentEnds() throws Exception {
		AgentDaemon agent = startAgent();
		assertAnswered("/dispatch/desk/x", AGENT_CLOSING_MS, agent::drain);
	}

	/** Guards against requests whose bodies are being read when the entry ends. */
	@Test
	public void requestWhoseBodyIsBeingSentIsAnsweredBeforeTheEntryEnds() throws Exception {
		EntryDaemon entry = startEntry();
		assertAnswered("/claims/report", ENTRY_CLOSING_MS, entry::drain);
	}

	/** Guards against requests on a connection that its server is about to close. */
	@Test
	public void answerOfADrainingAgentClosesItsConnection() throws Exception {
		AgentDaemon agent = startAgent();
		try (Socket socket = connect()) {
			send(socket, HEAD.formatted("/dispatch/desk/x") + "abcd");
			assertThat(readHead(socket)).doesNotContain("connection: close");
		}
		Future<Integer> ended = agent.drain();
		try (Socket socket = connect()) {
			send(socket, HEAD.formatted("/dispatch/desk/x") + "abcd");
			assertThat(readHead(socket)).contains("wigeontally-outcome: not-run", "connection: close");
		}
		await(ended);
	}

	/** Guards against answers of which a part is still in the process when it ends. */
	@Test
	public void largeAnswerThatIsReadSlowlyIsSentBeforeTheServerCloses() throws Exception {
		Router router = Router.router(this.vertx);
		router.route().handler((context) -> {
			context.response().putHeader("Content-Length", Integer.toString(LARGE_ANSWER_BYTES));
			for (int sentBytes = 0; sentBytes < LARGE_ANSWER_BYTES; sentBytes += PART_BYTES) {
				context.response().write(Buffer.buffer(new byte[PART_BYTES]));
			}
			context.end();
		});
		DaemonServer server = await(DaemonServer.start(this.vertx, this.address, (request) -> {
		}, router));
		try (Socket socket = connect()) {
			send(socket, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
			readHead(socket);
			Future<Void> ended = server.drain(SHORT_NOTICE_MS, READ_TIMEOUT_MS, Clock.system());
			Thread.sleep(2 * SHORT_NOTICE_MS);
			assertThat(ended.isComplete()).isFalse();
			socket.getInputStream().skipNBytes(LARGE_ANSWER_BYTES);
			await(ended);
		}
		assertThatThrownBy(this::connect).isInstanceOf(IOException.class);
	}

	private void assertAnswered(String path, long closingMs, Supplier<Future<Integer>> drain) throws Exception {
		try (Socket socket = connect()) {
			send(socket, HEAD.formatted(path) + "ab");
			Future<Integer> ended = drain.get();
			Thread.sleep(closingMs);
			assertThat(ended.isComplete()).isFalse();
			send(socket, "cd");
			assertThat(readHead(socket)).startsWith("http/1.1 ").contains("connection: close");
			await(ended);
		}
	}

	private AgentDaemon startAgent() throws Exception {
		return await(AgentDaemon.start(this.vertx,
				AgentSettings.newBuilder()
					.setHost("host-1")
					.setRegion("west")
					.setZone("west-a")
					.setListen(this.address)
					.addEntries(Ports.free())
					.setDrainMs(DRAIN_MS)
					.addBackends(BackendSettings.newBuilder()
						.setService("desk")
						.setKind(BackendKind.PLAIN_SERVICE)
						.setAddress(Ports.free())
						.setCapacity(1))
					.build(),
				Clock.system()));
	}

	private EntryDaemon startEntry() throws Exception {
		Address log = Ports.free();
		await(LogServer.start(this.vertx, log, MemoryLog.create(Clock.system(), 1)));
		return await(EntryDaemon.start(this.vertx,
				EntrySettings.newBuilder()
					.setHost("entry-1")
					.setRegion("west")
					.setZone("west-a")
					.setListen(this.address)
					.setPlatform(PlatformSettings.newBuilder().setLog(log))
					.setDrainMs(DRAIN_MS)
					.setBodyLimitBytes(1_024)
					.build(),
				Clock.system()));
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket(this.address.getIp(), this.address.getPort());
		socket.setSoTimeout(READ_TIMEOUT_MS);
		return socket;
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	/** Returns the head of an answer in lower case; what there is of it if cut. */
	private static String readHead(Socket socket) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = socket.getInputStream().read();
			if (next < 0) {
				break;
			}
			head.append((char) next);
		}
		return head.toString().toLowerCase();
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get();
	}

}
