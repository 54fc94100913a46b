package org.wigeontally.contents;

import java.util.Random;

import org.testng.annotations.Test;

import org.wigeontally.fleet.CompactedTopic.TopicRecord;
import org.wigeontally.schema.generated.ContentReference;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

public class LargeContentTests {

	private static byte[] randomBytes(int size) {
		byte[] bytes = new byte[size];
		new Random(size).nextBytes(bytes);
		return bytes;
	}

	@Test
	public void contentIsTheSameAfterItsPartsArePutTogether() throws ContentException {
		for (int size : new int[] { 1, 10_000, 100_000, 4_000_000 }) {
			LargeContent content = LargeContent.of(randomBytes(size));
			byte[] compressed = new byte[content.reference().getCompressedBytes()];
			int offset = 0;
			while (offset < compressed.length) {
				byte[] part = content.part(offset, ContentDownload.PART_BYTES);
				System.arraycopy(part, 0, compressed, offset, part.length);
				offset += part.length;
			}
			assertThat(LargeContent.received(content.reference(), compressed).value()).isEqualTo(content.value());
			assertThat(content.part(offset, 1)).isEmpty();
			assertThat(content.part(-1, 1)).isEmpty();
		}
	}

	@Test
	public void contentThatIsNotTheOneNamedIsRejected() {
		LargeContent content = LargeContent.of(randomBytes(50_000));
		byte[] compressed = content.part(0, Integer.MAX_VALUE);
		ContentReference reference = content.reference();
		byte[] changed = compressed.clone();
		changed[100] ^= 1;
		assertThatThrownBy(() -> LargeContent.received(reference, changed)).isInstanceOf(ContentException.class);
		for (int size : new int[] { -1, 49_999, 50_001, Integer.MAX_VALUE }) {
			ContentReference wrongSize = reference.toBuilder().setValueBytes(size).build();
			assertThatThrownBy(() -> LargeContent.received(wrongSize, compressed)).as("size %s", size)
				.isInstanceOf(ContentException.class);
		}
	}

	/** An entry that is behind may still be reading the last configuration but one. */
	@Test
	public void cacheKeepsTheLastContentsOnly() {
		ContentCache cache = ContentCache.create();
		TopicRecord[] records = new TopicRecord[5];
		ContentReference[] references = new ContentReference[records.length];
		for (int i = 0; i < records.length; i++) {
			records[i] = new TopicRecord("config", i, randomBytes(20_000 + i), false);
			references[i] = cache.reference(records[i]);
			assertThat(cache.reference(records[i])).isSameAs(references[i]);
		}
		assertThat(cache.find(references[4].getDigest())).isPresent();
		assertThat(cache.find(references[2].getDigest())).isPresent();
		assertThat(cache.find(references[1].getDigest())).isEmpty();
	}

}
