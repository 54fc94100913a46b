package org.wigeontally.platform.wire;

import java.util.List;
import java.util.Random;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

public class PromptPartsTests {

	@Test
	public void lastPartIsNotShared() {
		PromptParts parts = PromptParts.decode(List.of("5C1e07a2:800, 91bd3f06:410,e4402b7d:250"));
		assertThat(parts.sharedIds()).containsExactly("5c1e07a2", "91bd3f06");
		assertThat(parts.unreadable()).isNull();
		assertThat(PromptParts.decode(List.of("e4402b7d:250")).sharedIds()).isEmpty();
		assertThat(PromptParts.decode(List.of()).sharedIds()).isEmpty();
		assertThat(PromptParts.decode(List.of("a1:1", "b2:1,c3:1")).sharedIds()).containsExactly("a1", "b2");
	}

	@Test
	public void unreadableEntriesAreLeftOutAndReported() {
		PromptParts parts = PromptParts.decode(List.of("xyz:800,,91bd3f06,-:4,e4402b7d:250"));
		assertThat(parts.sharedIds()).containsExactly("91bd3f06");
		assertThat(parts.unreadable()).contains("xyz:800");
		assertThat(PromptParts.decode(List.of("a".repeat(10_000) + ":1,b:1")).unreadable()).hasSizeLessThan(100);
	}

	@Test
	public void numberOfPartsIsBounded() {
		PromptParts parts = PromptParts.decode(List.of("ab:1,".repeat(5_000) + "cd:1"));
		assertThat(parts.sharedIds()).hasSize(PromptParts.MAX_PARTS);
		assertThat(parts.unreadable()).isNotNull();
	}

	@Test
	public void randomBytesAreDecodedWithoutError() {
		Random random = new Random(29);
		for (int i = 0; i < 5_000; i++) {
			StringBuilder text = new StringBuilder();
			for (int length = random.nextInt(60); length > 0; length--) {
				text.append((random.nextInt(3) == 0) ? ",:af0 ".charAt(random.nextInt(6)) : (char) random.nextInt(256));
			}
			PromptParts parts = PromptParts.decode(List.of(text.toString()));
			assertThat(parts.sharedIds()).allMatch((id) -> id.matches("[0-9a-f]{1,64}"));
		}
	}

}
