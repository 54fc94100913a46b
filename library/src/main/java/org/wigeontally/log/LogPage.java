package org.wigeontally.log;

import java.util.List;

import org.wigeontally.schema.generated.OffsetRecord;

/**
 * Records read from a stream of the log, with the bounds of the stream at that time.
 *
 * @param records consecutive records that are still kept, lowest offset first
 * @param oldest lowest offset that is still kept
 * @param head offset that the next record will get
 */
public record LogPage(List<OffsetRecord> records, long oldest, long head) {

	/**
	 * Copies the records.
	 */
	public LogPage {
		records = List.copyOf(records);
	}

}
