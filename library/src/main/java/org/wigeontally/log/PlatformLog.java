package org.wigeontally.log;

import java.util.concurrent.CompletionStage;

import org.wigeontally.schema.generated.LogRecord;

/**
 * The platform's append-only log service. Each named stream gives its records an order by
 * offset and nothing else: no compare-and-set, records kept for a limited time, outages,
 * and replies that may be lost after the append took effect. A stage that fails says
 * nothing on whether the append took effect.
 */
public interface PlatformLog {

	/** Stream of operators' configuration, joins and checkpoints. */
	String CONFIGURATION = "configuration";

	/**
	 * Appends a record.
	 * @param stream name of the stream
	 * @param record the record
	 * @return the offset of the record
	 */
	CompletionStage<Long> append(String stream, LogRecord record);

	/**
	 * Reads records from an offset on, waiting for the first if there is none yet.
	 * @param stream name of the stream
	 * @param fromOffset first offset to read
	 * @param maxRecords most records to return; 0 asks for the head only
	 * @param maxWaitMs longest wait for a record, in milliseconds
	 * @return the records and the stream's bounds
	 */
	CompletionStage<LogPage> read(String stream, long fromOffset, int maxRecords, long maxWaitMs);

}
