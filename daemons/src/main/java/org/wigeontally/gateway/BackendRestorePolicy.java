package org.wigeontally.gateway;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.CompactedTopic.TopicRecord;
import org.wigeontally.fleet.RestorePolicy;
import org.wigeontally.platform.wire.BackendDecoder;
import org.wigeontally.platform.wire.PlatformException;

/**
 * Restore policy for registrations. A restored registration of a backend server that is
 * known to have left or to be draining is out of date, and stays so: a live backend
 * server renews its registration. Only a later process under the same id is newer.
 */
final class BackendRestorePolicy implements RestorePolicy {

	private final EventLog log;

	BackendRestorePolicy(EventLog log) {
		this.log = log;
	}

	@Override
	public boolean isNewer(TopicRecord restored, TopicRecord known) {
		return !known.removed() && processStartMs(restored) > processStartMs(known);
	}

	@Override
	public boolean isRightAfterGrace(TopicRecord restored, TopicRecord known) {
		return isNewer(restored, known);
	}

	private long processStartMs(TopicRecord topicRecord) {
		try {
			return BackendDecoder.decode(topicRecord.key(), topicRecord.value()).processStartMs();
		}
		catch (PlatformException ex) {
			// An unreadable registration is never newer than a readable one.
			this.log.write(LogEvent.RECORD_UNREADABLE, "key", topicRecord.key(), "reason", ex.getMessage());
			return Long.MIN_VALUE;
		}
	}

}
