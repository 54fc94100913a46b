package org.wigeontally.gateway;

import org.wigeontally.eventlog.EventLog;
import org.wigeontally.eventlog.LogEvent;
import org.wigeontally.fleet.CompactedTopic.TopicRecord;
import org.wigeontally.fleet.RestorePolicy;
import org.wigeontally.platform.wire.ConfigurationDecoder;
import org.wigeontally.platform.wire.PlatformException;

/**
 * Restore policy for the records of operators. Configurations and versions of weights
 * carry a version of their own, which only increases. An evacuation does not, so the
 * store is believed once the operator has written it again.
 */
final class OperatorRestorePolicy implements RestorePolicy {

	private final EventLog log;

	OperatorRestorePolicy(EventLog log) {
		this.log = log;
	}

	@Override
	public boolean isNewer(TopicRecord restored, TopicRecord known) {
		return hasVersion(restored.key()) && (known.removed() || version(restored) > version(known));
	}

	@Override
	public boolean isRightAfterGrace(TopicRecord restored, TopicRecord known) {
		return !hasVersion(restored.key()) || isNewer(restored, known);
	}

	private static boolean hasVersion(String key) {
		return ConfigurationDecoder.isConfigurationKey(key) || ConfigurationDecoder.announcedModel(key).isPresent();
	}

	private long version(TopicRecord topicRecord) {
		try {
			return ConfigurationDecoder.isConfigurationKey(topicRecord.key())
					? ConfigurationDecoder.decodeConfiguration(topicRecord.value()).version()
					: ConfigurationDecoder.decodeVersion(topicRecord.value());
		}
		catch (PlatformException ex) {
			// An unreadable record is never newer than a readable one.
			this.log.write(LogEvent.RECORD_UNREADABLE, "key", topicRecord.key(), "reason", ex.getMessage());
			return Long.MIN_VALUE;
		}
	}

}
