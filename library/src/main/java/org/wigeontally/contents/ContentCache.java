package org.wigeontally.contents;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;

import org.wigeontally.fleet.CompactedTopic.TopicRecord;
import org.wigeontally.schema.generated.ContentReference;

/**
 * The large contents that this process compressed or received lately. Keeps the newest
 * few, so that an entry that began to read one can finish although a newer one has
 * replaced it. Used by one thread.
 */
public final class ContentCache {

	private static final int MAX_CONTENTS = 3;

	private final Map<ByteString, LargeContent> byDigest = new LinkedHashMap<>();

	private final Map<RecordId, LargeContent> byRecord = new LinkedHashMap<>();

	private ContentCache() {
	}

	/**
	 * Creates an empty cache.
	 * @return the cache
	 */
	public static ContentCache create() {
		return new ContentCache();
	}

	/**
	 * Returns whether a record is sent by reference.
	 * @param topicRecord the record
	 * @return true if its value is too large for a message
	 */
	public static boolean isLarge(TopicRecord topicRecord) {
		return topicRecord.value().length > LargeContent.MAX_INLINE_BYTES;
	}

	/**
	 * Returns the reference to the content of a record, which is compressed at the first
	 * call.
	 * @param topicRecord the record
	 * @return the reference
	 */
	public ContentReference reference(TopicRecord topicRecord) {
		LargeContent known = this.byRecord.get(RecordId.of(topicRecord));
		if (known == null || known.value() != topicRecord.value()) {
			known = LargeContent.of(topicRecord.value());
			add(topicRecord, known);
		}
		return known.reference();
	}

	/**
	 * Adds the content of a record.
	 * @param topicRecord the record
	 * @param content its content
	 */
	public void add(TopicRecord topicRecord, LargeContent content) {
		putNewest(this.byRecord, RecordId.of(topicRecord), content);
		putNewest(this.byDigest, content.reference().getDigest(), content);
	}

	private static <K> void putNewest(Map<K, LargeContent> contents, K key, LargeContent content) {
		contents.remove(key);
		contents.put(key, content);
		if (contents.size() > MAX_CONTENTS) {
			contents.remove(contents.keySet().iterator().next());
		}
	}

	/**
	 * Returns the content with a digest.
	 * @param digest digest of the compressed bytes
	 * @return the content; empty if it is not known, or no longer
	 */
	public Optional<LargeContent> find(ByteString digest) {
		return Optional.ofNullable(this.byDigest.get(digest));
	}

	private record RecordId(String key, long position) {

		static RecordId of(TopicRecord topicRecord) {
			return new RecordId(topicRecord.key(), topicRecord.position());
		}

	}

}
