package org.wigeontally.fleet;

/**
 * An engine that may take a request.
 *
 * @param id id of the backend server
 * @param distance 0 in the entry's zone, 1 in its region, 2 elsewhere
 * @param load requests that it is estimated to have
 * @param pace 1 if normal, more if slow
 * @param failureShare share of recent requests that failed there
 */
public record BackendCandidate(String id, int distance, int load, double slowdownFactor, double failureRate) {

}
