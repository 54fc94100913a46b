package org.wigeontally.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the backend server that a request is sent to. An implementation is used by one
 * thread at a time; each traffic thread has its own.
 */
public interface BackendChooser {

	/**
	 * Chooses a backend server.
	 * @param request what is asked for
	 * @param candidates backend servers as the entry sees them now
	 * @return the choice; empty if none of them can serve the request
	 */
	Optional<Candidate> choose(RoutingRequest request, List<Candidate> candidates);

}
