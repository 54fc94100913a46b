package org.wigeontally.weights;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the concurrent uploads of chunks of one host. Uploads to other regions have a
 * limit of their own, because their receivers fetch for a whole region. Thread-safe.
 */
public final class UploadSlots {

	/**
	 * As many as a host fetches at once from peers of its region. With more, one host
	 * serves many receivers slowly while the links of others are idle.
	 */
	private static final int MAX_REGION_UPLOADS = 3;

	private static final int MAX_CROSS_REGION_UPLOADS = 6;

	private final AtomicInteger regionUploads = new AtomicInteger();

	private final AtomicInteger crossRegionUploads = new AtomicInteger();

	/**
	 * Takes a slot if one is free.
	 * @param crossRegion true for a receiver in another region
	 * @return true if the upload may start; {@link #release} must follow it
	 */
	public boolean tryAcquire(boolean crossRegion) {
		AtomicInteger uploads = uploads(crossRegion);
		if (uploads.incrementAndGet() > (crossRegion ? MAX_CROSS_REGION_UPLOADS : MAX_REGION_UPLOADS)) {
			uploads.decrementAndGet();
			return false;
		}
		return true;
	}

	/**
	 * Frees a slot.
	 * @param crossRegion as given to {@link #tryAcquire}
	 */
	public void release(boolean crossRegion) {
		uploads(crossRegion).decrementAndGet();
	}

	private AtomicInteger uploads(boolean crossRegion) {
		return crossRegion ? this.crossRegionUploads : this.regionUploads;
	}

}
