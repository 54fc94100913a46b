package org.wigeontally.platform.wire;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.wigeontally.fleet.BackendRecord;
import org.wigeontally.fleet.CompactedTopic;
import org.wigeontally.gateway.SmallStackVertx;
import org.wigeontally.platform.standin.FakeBackend;
import org.wigeontally.platform.standin.FakeConfiguration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Decoders with contents that a faulty writer may produce. They run on a stack of the
 * size that the deployed processes have.
 */
public class OddContentTests {

	private static final String DIGEST = "0123456789abcdef".repeat(4);

	private static final JsonObject REGISTRATION = FakeBackend.registration(8_000, "desk", "zone-a", "ready", 3);

	@DataProvider
	public Object[][] oddRegistrations() {
		List<Object[]> cases = new ArrayList<>();
		for (int depth : new int[] { 65, 400, 900, 2_000, 100_000 }) {
			cases.add(odd("arrays " + depth, with("extra", "[".repeat(depth) + "]".repeat(depth))));
			cases.add(odd("objects " + depth, with("extra", "{\"a\":".repeat(depth) + 1 + "}".repeat(depth))));
			cases.add(odd("never closed " + depth, with("extra", "[".repeat(depth))));
			cases.add(odd("behind a comment " + depth,
					with("extra", "/*\"*/" + "[".repeat(depth) + "]".repeat(depth) + "/*\"*/")));
		}
		for (String number : List.of("1e400", "-1e400", "123456789012345678901234567890", "-5", "1.5", "\"7\"", "null",
				"NaN", "true", "[]", "{}", "9".repeat(900))) {
			cases.add(odd("born " + number, with("born", number)));
			cases.add(odd("slots " + number, with("slots", number)));
			cases.add(odd("version " + number, with("models", "[{\"name\":\"m\",\"version\":" + number + "}]")));
		}
		for (String number : List.of("1e400", "99999999999", "\"7\"", "null", "[]")) {
			cases.add(odd("cold-remaining-ms " + number, with("cold-remaining-ms", number)));
		}
		cases.add(odd("slots 99999999999", with("slots", "99999999999")));
		cases.add(odd("version 1e99", with("models", "[{\"name\":\"m\",\"version\":1e99}]")));
		for (String models : List.of("{}", "null", "[1]", "[[]]", "[null]", "[{\"version\":1}]",
				"[{\"name\":null,\"version\":1}]", "[{\"name\":\"\",\"version\":1}]", "[{\"name\":7,\"version\":1}]",
				"[{\"name\":\"m\",\"version\":1,\"layers\":3}]")) {
			cases.add(odd("models " + models, with("models", models)));
		}
		for (String address : List.of("127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1",
				"host:80", "127.0.0.1:80:80", "", " ")) {
			cases.add(odd("address " + address, with("address", "\"" + address + "\"")));
		}
		for (String field : List.of("service", "address", "zone", "state")) {
			for (String value : List.of("null", "7", "[]", "\"\"", "\"" + "x".repeat(2_000) + "\"")) {
				cases.add(odd(field + " " + value.substring(0, Math.min(8, value.length())), with(field, value)));
			}
		}
		cases.add(odd("too large", with("extra", "\"" + "x".repeat(300_000) + "\"")));
		cases.add(odd("trailing", REGISTRATION.encode() + "]"));
		cases.add(odd("list", "[" + REGISTRATION.encode() + "]"));
		cases.add(odd("null", "null"));
		return cases.toArray(new Object[0][]);
	}

	@Test(dataProvider = "oddRegistrations")
	public void oddRegistrationIsUnreadable(OddContent odd) {
		assertUnreadable(odd.kind(), () -> BackendDecoder.decode("i-1", bytes(odd.text())));
	}

	@DataProvider
	public Object[][] harmlessAdditions() {
		return new Object[][] { { "\"text\"" }, { "null" }, { "1e400" }, { "0.25" }, { "-7" },
				{ "[[[[1]]],{\"a\":{}}]" }, { "[".repeat(30) + "]".repeat(30) }, { "\"[[[[ \\\" {{{ // /* \"" },
				{ "\"" + "[".repeat(500) + "\"" }, { "\"" + "x".repeat(1_100) + "\"" } };
	}

	/** New fields may come with any content that can be parsed. */
	@Test(dataProvider = "harmlessAdditions")
	public void registrationWithFurtherFieldsIsReadable(String value) throws Exception {
		BackendRecord expected = BackendDecoder.decode("i-1", REGISTRATION.toBuffer().getBytes());
		assertThat(onSmallStack(() -> BackendDecoder.decode("i-1", bytes(with("new-field", value)))))
			.isEqualTo(expected);
	}

	@Test
	public void registrationAtTheBoundsIsReadable() throws Exception {
		BackendRecord record = BackendDecoder.decode("i-1",
				bytes(REGISTRATION.copy()
					.put("born", 1_796_467_200_123L)
					.put("slots", 16.0)
					.put("cold-remaining-ms", 1_250.75)
					.put("address", "[::1]:65535")
					.encode()));
		assertThat(record.processStartMs()).isEqualTo(1_796_467_200_123L);
		assertThat(record.slots()).isEqualTo(16);
		assertThat(record.remainingColdMs()).isEqualTo(1_250);
		JsonObject minimal = new JsonObject().put("service", "desk")
			.put("address", "127.0.0.1:1")
			.put("zone", "z")
			.put("state", "draining");
		assertThat(BackendDecoder.decode("i-1", minimal.toBuffer().getBytes()).slots()).isEqualTo(1);
	}

	@DataProvider
	public Object[][] oddConfigurations() {
		JsonObject valid = FakeConfiguration.create(7, List.of());
		String deep = "[".repeat(900) + "]".repeat(900);
		return new Object[][] { odd("deep", "{\"version\":8,\"extra\":" + deep + "}"),
				odd("deep routes", "{\"version\":8,\"routes\":" + deep + "}"), odd("infinite", "{\"version\":1e400}"),
				odd("negative", "{\"version\":-1}"), odd("no version", "{\"routes\":[]}"),
				odd("timeout", valid.encode().replace("\"timeout-ms\":1500", "\"timeout-ms\":1e400")),
				odd("connections",
						valid.encode().replace("\"max-connections\":110", "\"max-connections\":99999999999")),
				odd("no host", valid.encode().replace("\"host\"", "\"hast\"")),
				odd("no prefix", valid.encode().replace("\"path-prefix\"", "\"path\"")),
				odd("model name", valid.encode().replace("{\"name\":\"m0\"}", "{\"name\":null}")),
				odd("key", valid.encode().replace("\"key-of-org-b\"", "17")) };
	}

	@Test(dataProvider = "oddConfigurations")
	public void oddConfigurationIsUnreadable(OddContent odd) {
		assertUnreadable(odd.kind(), () -> ConfigurationDecoder.decodeConfiguration(bytes(odd.text())));
	}

	/** Times and sizes may have a fraction, which is dropped. */
	@Test
	public void configurationWithFractionsIsReadable() throws Exception {
		String text = FakeConfiguration.create(7, List.of())
			.encode()
			.replace("\"timeout-ms\":1500", "\"timeout-ms\":1500.75")
			.replace("\"prompt\":979", "\"prompt\":979.5")
			.replace("\"max-connections\":110", "\"max-connections\":110.0");
		var configuration = ConfigurationDecoder.decodeConfiguration(bytes(text));
		assertThat(configuration.version()).isEqualTo(7);
		assertThat(configuration.service("desk").orElseThrow().maxConnections()).isEqualTo(110);
		assertThat(configuration.service("engines").orElseThrow().engine().orElseThrow().meanPromptTokens())
			.isEqualTo(979);
	}

	@Test
	public void oddVersionOfWeightsIsUnreadable() {
		for (String version : List.of("1e400", "-1", "1.5", "null", "\"2\"", "123456789012345678901234567890", "[]",
				"2,\"extra\":" + "[".repeat(900) + "]".repeat(900))) {
			assertUnreadable(version, () -> ConfigurationDecoder.decodeVersion(bytes("{\"version\":" + version + "}")));
		}
	}

	@Test
	public void oddEntryRecordNamesNoEntry() throws Exception {
		for (String control : List.of("\"127.0.0.1:0\"", "\"127.0.0.1:70000\"", "\"127.0.0.1\"", "7", "null",
				"[".repeat(900) + "]".repeat(900), "\"" + "1".repeat(70_000) + ":1\"")) {
			assertThat(onSmallStack(() -> EntryRecordCodec.decode(bytes("{\"control\":" + control + "}"))))
				.as(control.substring(0, Math.min(20, control.length())))
				.isEmpty();
		}
		assertThat(EntryRecordCodec.decode(bytes("{\"control\":\"127.0.0.1:7000\",\"new\":[[1e400]]}"))).isPresent();
	}

	@Test
	public void oddDigestsAreUnreadable() throws Exception {
		for (String digests : List.of("[\"zz\"]", "[\"\"]", "[7]", "[null]", "{}", "\"" + DIGEST + "\"",
				"[\"" + DIGEST + "0\"]", "[\"" + DIGEST.replace('0', 'g') + "\"]", "[".repeat(900) + "]".repeat(900))) {
			assertUnreadable(digests,
					() -> EngineClient.decodeDigests(Buffer.buffer("{\"version\":2,\"digests\":" + digests + "}"), 2));
		}
		assertUnreadable("other version",
				() -> EngineClient.decodeDigests(Buffer.buffer("{\"version\":3,\"digests\":[]}"), 2));
		assertThat(EngineClient
			.decodeDigests(Buffer.buffer("{\"version\":2,\"new\":{},\"digests\":[\"" + DIGEST + "\"]}"), 2))
			.containsExactly(DIGEST);
	}

	/** A value is replaced by an odd one, anywhere in a registration or configuration. */
	@Test
	public void oddValuesAnywhereAreReadOrRejectedAsAWhole() throws Exception {
		Random random = new Random(20_261_205);
		for (int i = 0; i < 4_000; i++) {
			JsonObject registration = REGISTRATION.copy();
			JsonObject configuration = FakeConfiguration.create(7, List.of());
			replaceOneValue(registration, random);
			replaceOneValue(configuration, random);
			String registrationText = insertDeep(registration.encode(), random);
			String configurationText = insertDeep(configuration.encode(), random);
			onSmallStack(() -> {
				try {
					BackendRecord record = BackendDecoder.decode("i-1", bytes(registrationText));
					assertThat(record.loadedVersions()).doesNotContainKey(null).doesNotContainKey("");
					assertThat(record.slots()).isNotNegative();
					assertThat(record.processStartMs()).isNotNegative();
					assertThat(record.address()).doesNotEndWith(":0");
				}
				catch (PlatformException ex) {
					assertThat(ex.getMessage()).hasSizeLessThan(500);
				}
				try {
					ConfigurationDecoder.decodeConfiguration(bytes(configurationText)).route("a.example", "/x/");
				}
				catch (PlatformException ex) {
					assertThat(ex.getMessage()).hasSizeLessThan(500);
				}
				return null;
			});
		}
	}

	private static void replaceOneValue(Object container, Random random) {
		Object[] odd = { null, -1, 0, 7, 0.5, 1e300, Long.MAX_VALUE, Long.MIN_VALUE, "", "x", "@", true,
				new JsonArray(), new JsonObject(), new JsonArray().add("@"), new JsonArray().addNull(),
				"y".repeat(3_000) };
		Object value = odd[random.nextInt(odd.length)];
		if (container instanceof JsonObject object && !object.isEmpty()) {
			List<String> fields = List.copyOf(object.fieldNames());
			String field = fields.get(random.nextInt(fields.size()));
			if (isContainer(object.getValue(field)) && random.nextInt(4) > 0) {
				replaceOneValue(object.getValue(field), random);
				return;
			}
			object.put(field, value);
		}
		else if (container instanceof JsonArray array && !array.isEmpty()) {
			int index = random.nextInt(array.size());
			if (isContainer(array.getValue(index)) && random.nextInt(4) > 0) {
				replaceOneValue(array.getValue(index), random);
				return;
			}
			array.set(index, value);
		}
	}

	private static boolean isContainer(Object value) {
		return value instanceof JsonObject || value instanceof JsonArray;
	}

	private static String insertDeep(String text, Random random) {
		int depth = 1 + random.nextInt(990);
		String deep = random.nextBoolean() ? "[".repeat(depth) + "]".repeat(depth)
				: "{\"a\":".repeat(depth) + "1e400" + "}".repeat(depth);
		return text.replace("\"@\"", deep);
	}

	/** Records without a key do not keep the reader at their position. */
	@Test
	public void pageOfRecordsWithoutKeyIsPassed() {
		Buffer page = Buffer.buffer().appendLong(8).appendLong(0);
		page.appendInt(1).appendUnsignedByte((short) 5);
		page.appendInt(0);
		RecordPage odd = RecordCodec.decodePage(page, 5, 0);
		assertThat(odd.records()).isEmpty();
		assertThat(odd.endPosition()).isEqualTo(7);
		page.appendBuffer(RecordCodec.encode("k", bytes("v")));
		RecordPage withNext = RecordCodec.decodePage(page, 5, 0);
		assertThat(withNext.endPosition()).isEqualTo(8);
		assertThat(withNext.records()).extracting(CompactedTopic.TopicRecord::position).containsExactly(7L);
	}

	private static Object[] odd(String kind, String text) {
		return new Object[] { new OddContent(kind, text) };
	}

	private static String with(String field, String json) {
		return REGISTRATION.copy().put(field, "@").encode().replace("\"@\"", json);
	}

	private static void assertUnreadable(String kind, Callable<?> decoder) {
		assertThatThrownBy(() -> onSmallStack(decoder)).as(kind)
			.isInstanceOf(PlatformException.class)
			.message()
			.hasSizeLessThan(500);
	}

	private static <T> T onSmallStack(Callable<T> decoder) throws Exception {
		FutureTask<T> task = new FutureTask<>(decoder);
		Thread thread = new Thread(null, task, "small-stack", SmallStackVertx.STACK_BYTES);
		thread.start();
		try {
			return task.get();
		}
		catch (ExecutionException ex) {
			if (ex.getCause() instanceof Exception cause) {
				throw cause;
			}
			throw (Error) ex.getCause();
		}
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	private record OddContent(String kind, String text) {

		@Override
		public String toString() {
			return this.kind;
		}

	}

}
