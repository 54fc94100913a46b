package org.wigeontally.misc;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Collects resources as they are opened and closes them in reverse order. All resources
 * are closed even if closing one of them fails. The first exception is thrown at the end,
 * with the later ones added as suppressed exceptions.
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
	 * @param resource the resource to close
	 * @return the resource itself
	 */
	public synchronized <T extends AutoCloseable> T add(T resource) {
		this.resources.push(resource);
		return resource;
	}

	@Override
	public synchronized void close() throws Exception {
		Exception firstException = null;
		while (!this.resources.isEmpty()) {
			try {
				this.resources.pop().close();
			}
			catch (Exception ex) {
				if (firstException == null) {
					firstException = ex;
				}
				else {
					firstException.addSuppressed(ex);
				}
			}
		}
		if (firstException != null) {
			throw firstException;
		}
	}

}
