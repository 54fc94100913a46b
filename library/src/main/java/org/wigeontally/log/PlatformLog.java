package org.wigeontally.log;

import java.util.concurrent.CompletionStage;

import org.wigeontally.schema.generated.LogRecord;

/**
 * Client interface of the platform's append-only log service. The only guarantee is that
 * each named stream orders its records by offset. There is no compare-and-set, records
 * are retained for a limited time, the service may be unavailable, and a reply may be
 * lost after the append took effect. If the returned stage fails, the append may or may
 * not have taken effect.
 */
public interface PlatformLog {

	/** Stream of configuration changes by operators, join records and checkpoints. */
	String CONFIGURATION = "configuration";

	/**
	 * Appends a record.
	 * @param stream name of the stream
	 * @param record the record
	 * @return the offset of the record
	 */
	CompletionStage<Long> append(String stream, LogRecord record);

	/**
	 * Reads records starting at an offset. Waits for a record if there is none yet.
	 * @param stream name of the stream
	 * @param fromOffset first offset to read
	 * @param maxRecords maximum number of records to return; 0 asks for the head only
	 * @param maxWaitMs maximum time to wait for a record, in milliseconds
	 * @return the records and the stream's bounds
	 */
	CompletionStage<LogPage> read(String stream, long fromOffset, int maxRecords, long maxWaitMs);

}
