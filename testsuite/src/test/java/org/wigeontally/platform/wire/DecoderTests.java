package org.wigeontally.platform.wire;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import io.vertx.core.buffer.Buffer;
import org.testng.annotations.Test;

import org.wigeontally.fleet.BackendRecord;
import org.wigeontally.fleet.CompactedTopic;
import org.wigeontally.fleet.FleetConfiguration;
import org.wigeontally.fleet.RequestKind;
import org.wigeontally.fleet.Route;
import org.wigeontally.platform.standin.FakeBackend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests the decoders with records in the platform's format and with malformed records,
 * which other writers to the same topics may produce.
 */
public class DecoderTests {

	private static final String CONFIGURATION = """
			{"version":7,"routes":[
			{"name":"r1","host":"a.example","path-prefix":"/x/","kind":"streaming","timeout-ms":6000,
			"target-latency-ms":402,"priority":1,"service":"s1","max-attempts":2,"resume-streams":true,
			"allowed-regions":["viti-west"]},
			{"name":"r2","host":"a.example","path-prefix":"/x/y/","kind":"non_idempotent","timeout-ms":800,
			"target-latency-ms":100,"priority":2,"max-attempts":1,
			"weighted-split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}],
			"services":[{"name":"s1","max-connections":434,"cold-start-s":3.0,"warmup-per-s":36.0,
			"engine":{"slots":16,"kv-capacity-tokens":317000,"step_ms":9.27,"read_per_s":20700.0,"stride":5,
			"models":[{"name":"m","pace":1.0}],"layers":16,"chunks":96,"chunk-bytes":24576,
			"usual":{"prompt":979,"answer":92}}},
			{"name":"s3","origin":"172.20.0.3:8006","zone":"suva-a","max-connections":48}],
			"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"idle-timeout-ms":15000},
			"tenants":[{"name":"t1","api-keys":["k1","k2"],"priority":1,"allowed-regions":[]}]}""";

	@Test
	public void decodesConfiguration() throws Exception {
		FleetConfiguration configuration = ConfigurationDecoder.decodeConfiguration(bytes(CONFIGURATION));
		assertThat(configuration.version()).isEqualTo(7);
		Route longestPrefixRoute = configuration.route("a.example", "/x/y/z").orElseThrow();
		assertThat(longestPrefixRoute.name()).isEqualTo("r2");
		assertThat(longestPrefixRoute.kind()).isEqualTo(RequestKind.AT_MOST_ONCE);
		assertThat(longestPrefixRoute.pickService(0.89)).contains("s1");
		assertThat(longestPrefixRoute.pickService(0.95)).contains("s2");
		Route streamingRoute = configuration.route("a.example", "/x/z").orElseThrow();
		assertThat(streamingRoute.isRetryable()).isTrue();
		assertThat(streamingRoute.regions().contains("viti-west")).isTrue();
		assertThat(streamingRoute.regions().contains("viti-east")).isFalse();
		assertThat(longestPrefixRoute.regions().areUnrestricted()).isTrue();
		assertThat(configuration.route("a.example", "/w")).isEmpty();
		assertThat(configuration.apiKeys().organisation("k2").orElseThrow().name()).isEqualTo("t1");
		assertThat(configuration.service("s1").orElseThrow().engine().orElseThrow().chunkCount()).isEqualTo(96);
		assertThat(configuration.origin().orElseThrow().maxConnections()).isEqualTo(48);
	}

	@Test
	public void routeOfUnknownKindIsNotRetryable() throws Exception {
		FleetConfiguration configuration = ConfigurationDecoder
			.decodeConfiguration(bytes(CONFIGURATION.replace("streaming", "something-new")));
		assertThat(configuration.route("a.example", "/x/z").orElseThrow().isRetryable()).isFalse();
	}

	@Test
	public void rejectsMalformedRegistrations() {
		for (String record : List.of("", "x", "[]", "{}", "{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\"}",
				"{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\",\"state\":\"resting\"}",
				"{\"service\":7,\"address\":\"a\",\"zone\":\"z\",\"state\":\"ready\"}",
				"{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\",\"state\":\"ready\",\"slots\":\"many\"}",
				"{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\",\"state\":\"ready\",\"models\":{}}")) {
			assertThatThrownBy(() -> BackendDecoder.decode("i", bytes(record))).as(record)
				.isInstanceOf(PlatformException.class);
		}
	}

	/** Guards against a backend server to which every request fails as it is written. */
	@Test
	public void registrationWhoseIdCannotBeSentInAHeaderIsRejected() {
		byte[] registration = FakeBackend.registration(9, "desk", "zone-a", "ready", 1).toBuffer().getBytes();
		for (String id : List.of("", "i-1\u0000", "i\r\nX-Other: 1", "i 1", "i-\u00e9", "i-\u007f")) {
			assertThatThrownBy(() -> BackendDecoder.decode(id, registration)).as(id)
				.isInstanceOf(PlatformException.class);
		}
	}

	@Test
	public void versionWithEmptyLayerListIsNotLoaded() throws Exception {
		String record = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":\"ready\",\"models\":["
				+ "{\"name\":\"m\",\"version\":2,\"layers\":[]},{\"name\":\"n\",\"version\":3}]}";
		BackendRecord decoded = BackendDecoder.decode("i", bytes(record));
		assertThat(decoded.loadedVersions()).doesNotContainKey("m").containsEntry("n", 3L);
	}

	@Test
	public void decodesEncodedRecords() {
		Buffer page = Buffer.buffer()
			.appendLong(9)
			.appendLong(0)
			.appendBuffer(RecordCodec.encode("config", bytes("v")))
			.appendBuffer(RecordCodec.encode("gone", new byte[0]));
		RecordPage decoded = RecordCodec.decodePage(page, 5, 0);
		assertThat(decoded.endPosition()).isEqualTo(7);
		assertThat(decoded.records()).extracting(CompactedTopic.TopicRecord::key).containsExactly("config", "gone");
		assertThat(decoded.records()).extracting(CompactedTopic.TopicRecord::removed).containsExactly(false, true);
		assertThat(decoded.records()).extracting(CompactedTopic.TopicRecord::position).containsExactly(5L, 6L);
	}

	/**
	 * A configuration in which one to four random bytes are overwritten must either
	 * decode or be rejected as a whole with a {@link PlatformException}. Any other
	 * exception fails the test.
	 */
	@Test
	public void corruptedConfigurationThrowsOnlyPlatformException() {
		Random random = new Random(20_261_204);
		byte[] validRecord = bytes(CONFIGURATION);
		for (int i = 0; i < 3_000; i++) {
			byte[] corruptedRecord = validRecord.clone();
			for (int change = 0; change <= random.nextInt(4); change++) {
				corruptedRecord[random.nextInt(corruptedRecord.length)] = (byte) random.nextInt(256);
			}
			assertThat(decodedVersion(corruptedRecord)).as("round %s", i).isNotNull();
		}
	}

	private static Optional<Long> decodedVersion(byte[] record) {
		try {
			return Optional.of(ConfigurationDecoder.decodeConfiguration(record).version());
		}
		catch (PlatformException ex) {
			return Optional.empty();
		}
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
