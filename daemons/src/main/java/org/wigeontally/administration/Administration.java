package org.wigeontally.administration;

import io.vertx.core.Future;

import org.wigeontally.schema.generated.BundleList;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.ChangeAnswer;
import org.wigeontally.schema.generated.StatusReport;

/**
 * Operations of an entry that the administration API calls. Methods may be called on any
 * event loop; an implementation switches to its own thread.
 */
public interface Administration {

	/**
	 * Appends a change to the log, unless its id is already known, and waits for its
	 * outcome for a limited time.
	 * @param change the signed change
	 * @return the outcome known at the end of the wait; after a failure it is unknown
	 * whether the change took effect
	 */
	Future<ChangeAnswer> submit(Change change);

	/**
	 * Returns the known outcome of a change.
	 * @param id id of the change
	 * @return the answer; its outcome is unknown if this entry does not know the id
	 */
	Future<ChangeAnswer> outcome(String id);

	/**
	 * Returns the bundles that this entry knows.
	 * @return the bundles
	 */
	Future<BundleList> bundles();

	/**
	 * Returns the status of the deployment as known to this entry.
	 * @return the report
	 */
	Future<StatusReport> status();

}
