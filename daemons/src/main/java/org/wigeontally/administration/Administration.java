package org.wigeontally.administration;

import io.vertx.core.Future;

import org.wigeontally.schema.generated.BundleList;
import org.wigeontally.schema.generated.Change;
import org.wigeontally.schema.generated.ChangeAnswer;
import org.wigeontally.schema.generated.StatusReport;

/**
 * What the administration API needs of an entry. Methods may be called on any event loop;
 * an implementation moves to its own thread.
 */
public interface Administration {

	/**
	 * Appends a change to the log, unless its id was seen before, and waits a while for
	 * its outcome.
	 * @param change the signed change
	 * @return what is known at the end of the wait; a failure says nothing on whether the
	 * change took effect
	 */
	Future<ChangeAnswer> submit(Change change);

	/**
	 * Returns what is known of a change.
	 * @param id id of the change
	 * @return the answer; unknown if the id was never seen here
	 */
	Future<ChangeAnswer> outcome(String id);

	/**
	 * Returns the bundles that this entry knows.
	 * @return the bundles
	 */
	Future<BundleList> bundles();

	/**
	 * Returns the deployment as this entry knows it.
	 * @return the report
	 */
	Future<StatusReport> status();

}
