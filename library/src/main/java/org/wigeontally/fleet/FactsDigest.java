package org.wigeontally.fleet;

import java.nio.charset.StandardCharsets;

import com.google.common.base.Joiner;

import org.wigeontally.misc.RendezvousHash;
import org.wigeontally.schema.generated.BackendLoss;
import org.wigeontally.schema.generated.EntryNews;
import org.wigeontally.schema.generated.LeavingBackend;
import org.wigeontally.schema.generated.LimitedBackend;
import org.wigeontally.schema.generated.SuspectContent;
import org.wigeontally.schema.generated.SuspectSummary;
import org.wigeontally.schema.generated.VersionAge;

/**
 * Digest of what entries tell each other about backend servers, versions and suspects.
 * Two entries with the same digest have nothing to tell each other.
 *
 * <p>
 * Load pattern: the same lists in every message to every other entry, which rarely
 * change. Ages are left out, since they differ between any two messages; entries that
 * know the same facts also agree on when they began, up to the delay of a message. The
 * digest does not depend on the order of the lists.
 */
public final class FactsDigest {

	private static final Joiner FIELDS = Joiner.on('\0').useForNull("");

	private FactsDigest() {
	}

	/**
	 * Returns the digest of the facts in a message.
	 * @param news the message
	 * @return the digest; 0 if it holds none
	 */
	public static long of(EntryNews news) {
		long digest = 0;
		for (LeavingBackend leaving : news.getLeavingBackendsList()) {
			digest += hash("leaving", leaving.getId(), leaving.getProcessStartMs());
		}
		for (LimitedBackend limited : news.getLimitedBackendsList()) {
			digest += hash("limit", limited.getId(), limited.getProcessStartMs(), limited.getPerSecond());
		}
		for (VersionAge version : news.getVersionsList()) {
			digest += hash("version", version.getModel(), version.getVersion());
		}
		return digest + of("request", news.getSuspects()) + of("part", news.getSuspectParts());
	}

	private static long of(String kind, SuspectSummary suspects) {
		long digest = 0;
		for (SuspectContent content : suspects.getContentsList()) {
			String fingerprint = content.getFingerprint().toString(StandardCharsets.ISO_8859_1);
			long trialId = content.hasTrialAgeMs() ? content.getTrialId() : 0;
			digest += hash(kind, fingerprint, content.getService(), content.getPartId(), trialId);
			for (BackendLoss loss : content.getLossesList()) {
				digest += hash(kind, fingerprint, loss.getId(), loss.getCleared(), loss.getTrialValue(),
						loss.getTrialId());
			}
		}
		return digest;
	}

	private static long hash(Object... fields) {
		return RendezvousHash.of(FIELDS.join(fields));
	}

}
