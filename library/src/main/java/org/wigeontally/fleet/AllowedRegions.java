package org.wigeontally.fleet;

import java.util.Collections;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * The regions that may serve a request: all of them, or only those of a set, which may be
 * empty. Immutable.
 */
public final class AllowedRegions {

	private static final AllowedRegions ALL = new AllowedRegions(true, Set.of());

	private final boolean unrestricted;

	private final Set<String> regions;

	private AllowedRegions(boolean unrestricted, Set<String> regions) {
		this.unrestricted = unrestricted;
		this.regions = regions;
	}

	/**
	 * Returns a value that allows every region.
	 * @return all regions
	 */
	public static AllowedRegions all() {
		return ALL;
	}

	/**
	 * Creates a value that allows some regions only.
	 * @param regions the regions; none is allowed if it is empty
	 * @return the allowed regions
	 */
	public static AllowedRegions only(Set<String> regions) {
		return new AllowedRegions(false, Set.copyOf(regions));
	}

	/**
	 * Returns whether all regions are allowed.
	 * @return true if there is no restriction
	 */
	public boolean areUnrestricted() {
		return this.unrestricted;
	}

	/**
	 * Returns whether a region is allowed.
	 * @param region the region
	 * @return true if it may serve the request
	 */
	public boolean contains(String region) {
		return this.unrestricted || this.regions.contains(region);
	}

	/**
	 * Returns whether a region is allowed by both values.
	 * @param other the other value
	 * @return true if there is one
	 */
	public boolean intersects(AllowedRegions other) {
		return this.unrestricted || other.unrestricted || !Collections.disjoint(this.regions, other.regions);
	}

	/**
	 * Combines the regions of several routes.
	 * @param other regions of another route
	 * @return the regions that at least one of both allows
	 */
	public AllowedRegions or(AllowedRegions other) {
		if (this.unrestricted || other.unrestricted) {
			return ALL;
		}
		Set<String> both = new HashSet<>(this.regions);
		both.addAll(other.regions);
		return only(both);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof AllowedRegions that && this.unrestricted == that.unrestricted
				&& this.regions.equals(that.regions);
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.unrestricted, this.regions);
	}

}
