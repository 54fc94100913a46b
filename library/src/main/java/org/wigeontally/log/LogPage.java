package org.wigeontally.log;

import java.util.List;

import org.wigeontally.schema.generated.OffsetRecord;

/**
 * Records read from a stream of the log, with the bounds of the stream at the time of the
 * read.
 *
 * @param records consecutive retained records, lowest offset first
 * @param oldest lowest offset that is still retained
 * @param head offset that the next record will get
 */
public record LogPage(List<OffsetRecord> records, long oldest, long head) {

	/**
	 * Creates a page with an immutable copy of the records.
	 */
	public LogPage {
		records = List.copyOf(records);
	}

}
