package org.wigeontally.emulator.experiment;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * What came of a load, request by request. Safe for use by several threads.
 */
public final class LoadResult {

	private static final long HIGHEST_US = 120_000_000;

	private static final double US_PER_MS = 1000;

	private final AtomicLong sent = new AtomicLong();

	private final AtomicLong served = new AtomicLong();

	private final AtomicLong refused = new AtomicLong();

	private final AtomicLong unknown = new AtomicLong();

	private final AtomicLong lost = new AtomicLong();

	private final AtomicLong crossed = new AtomicLong();

	private final AtomicLong resent = new AtomicLong();

	private final Set<String> bookingsNotRun = ConcurrentHashMap.newKeySet();

	private final Set<String> bookingsDone = ConcurrentHashMap.newKeySet();

	private final Histogram firstByteUs = new ConcurrentHistogram(HIGHEST_US, 3);

	private final Histogram totalUs = new ConcurrentHistogram(HIGHEST_US, 3);

	void sent() {
		this.sent.incrementAndGet();
	}

	void resent() {
		this.resent.incrementAndGet();
	}

	void served(CallerAnswer answer) {
		this.served.incrementAndGet();
		this.firstByteUs.recordValue(us(answer.firstByteMs()));
		this.totalUs.recordValue(us(answer.totalMs()));
	}

	private static long us(double ms) {
		return Math.min(HIGHEST_US, Math.max(0, (long) (ms * US_PER_MS)));
	}

	void refused() {
		this.refused.incrementAndGet();
	}

	void unknown() {
		this.unknown.incrementAndGet();
	}

	void lost() {
		this.lost.incrementAndGet();
	}

	void crossed() {
		this.crossed.incrementAndGet();
	}

	void bookingNotRun(String booking) {
		this.bookingsNotRun.add(booking);
	}

	void bookingDone(String booking) {
		this.bookingsDone.add(booking);
	}

	/**
	 * Returns how many requests were sent, without re-sends.
	 * @return the count
	 */
	public long sentCount() {
		return this.sent.get();
	}

	/**
	 * Returns how many requests got their whole answer.
	 * @return the count
	 */
	public long servedCount() {
		return this.served.get();
	}

	/**
	 * Returns how many were refused for good as not run.
	 * @return the count
	 */
	public long refusedCount() {
		return this.refused.get();
	}

	/**
	 * Returns how many ended with an unknown outcome.
	 * @return the count
	 */
	public long unknownCount() {
		return this.unknown.get();
	}

	/**
	 * Returns how many ended without any outcome.
	 * @return the count
	 */
	public long lostCount() {
		return this.lost.get();
	}

	/**
	 * Returns how many got an answer that is not their own, or not whole.
	 * @return the count
	 */
	public long crossedCount() {
		return this.crossed.get();
	}

	/**
	 * Returns how many sendings were repeats.
	 * @return the count
	 */
	public long resentCount() {
		return this.resent.get();
	}

	/**
	 * Counts bookings that ran more than once.
	 * @param ran how often each booking ran at the services
	 * @return the count
	 */
	public long doubled(Map<String, Integer> ran) {
		return ran.values().stream().filter((count) -> count > 1).count();
	}

	/**
	 * Counts bookings whose last answer said "not run" although they ran, and bookings
	 * answered as done that never ran.
	 * @param ran how often each booking ran at the services
	 * @return the count
	 */
	public long falseOutcomes(Map<String, Integer> ran) {
		long falseRefusals = this.bookingsNotRun.stream().filter(ran::containsKey).count();
		long falseAnswers = this.bookingsDone.stream().filter((booking) -> !ran.containsKey(booking)).count();
		return falseRefusals + falseAnswers;
	}

	/**
	 * Returns a percentile of the time to the first byte.
	 * @param percentile from 0 to 100
	 * @return milliseconds
	 */
	public double firstByteMs(double percentile) {
		return this.firstByteUs.getValueAtPercentile(percentile) / US_PER_MS;
	}

	/**
	 * Returns a percentile of the time to the end of the answer.
	 * @param percentile from 0 to 100
	 * @return milliseconds
	 */
	public double totalMs(double percentile) {
		return this.totalUs.getValueAtPercentile(percentile) / US_PER_MS;
	}

	/**
	 * Returns one line with the counts.
	 * @return the line
	 */
	public String summary() {
		return "sent " + this.sent + ", served " + this.served + ", refused " + this.refused + ", unknown "
				+ this.unknown + ", lost " + this.lost + ", crossed " + this.crossed + ", re-sent " + this.resent;
	}

}
