package org.wigeontally.misc;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Gathers resources as they are opened and closes them in reverse order. A failure to
 * close one does not keep the others from being closed; the first failure is thrown at
 * the end with the later ones suppressed.
 */
public final class Closer implements AutoCloseable {

	private final Deque<AutoCloseable> resources = new ArrayDeque<>();

	private Closer() {
	}

	/**
	 * Creates an empty closer.
	 * @return the closer
	 */
	public static Closer create() {
		return new Closer();
	}

	/**
	 * Adds a resource.
	 * @param <T> type of the resource
	 * @param resource what to close
	 * @return the resource itself
	 */
	public synchronized <T extends AutoCloseable> T add(T resource) {
		this.resources.push(resource);
		return resource;
	}

	@Override
	public synchronized void close() throws Exception {
		Exception firstFailure = null;
		while (!this.resources.isEmpty()) {
			try {
				this.resources.pop().close();
			}
			catch (Exception ex) {
				if (firstFailure == null) {
					firstFailure = ex;
				}
				else {
					firstFailure.addSuppressed(ex);
				}
			}
		}
		if (firstFailure != null) {
			throw firstFailure;
		}
	}

}
