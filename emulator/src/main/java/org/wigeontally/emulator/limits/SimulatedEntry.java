package org.wigeontally.emulator.limits;

import java.util.HashMap;
import java.util.Map;

import org.wigeontally.limits.BackendLimit;
import org.wigeontally.limits.PermitIssuer;
import org.wigeontally.limits.PermitQueue;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.EntryNews;

/**
 * An entry of a simulation with what it knows in its present life. Used by one thread.
 */
final class SimulatedEntry {

	private static final int FIRST_PORT = 10_000;

	private final int index;

	private final EntryNews news;

	private final Map<SimulatedBackend, BackendLimit> limits = new HashMap<>();

	private final Map<SimulatedBackend, PermitQueue> permits = new HashMap<>();

	private final Map<SimulatedBackend, PermitIssuer> issuers = new HashMap<>();

	private final Map<SimulatedBackend, Double> nextSendsMs = new HashMap<>();

	private double startedAtMs;

	private double stoppedAtMs;

	private boolean running = true;

	private int life;

	private double excusedUntilMs = Double.NEGATIVE_INFINITY;

	SimulatedEntry(int index, double startedAtMs) {
		this.index = index;
		this.startedAtMs = startedAtMs;
		this.news = EntryNews.newBuilder()
			.setControl(Address.newBuilder().setIp("127.0.0.1").setPort(FIRST_PORT + index))
			.setRegion(LimitNetwork.REGION)
			.setReady(true)
			.build();
	}

	int index() {
		return this.index;
	}

	EntryNews news() {
		return this.news;
	}

	BackendLimit limit(SimulatedBackend server) {
		return this.limits.computeIfAbsent(server, (key) -> BackendLimit.create());
	}

	PermitQueue permits(SimulatedBackend server) {
		return this.permits.computeIfAbsent(server, (key) -> PermitQueue.create());
	}

	PermitIssuer issuer(SimulatedBackend server, double perSecond, long nowMs) {
		return this.issuers.computeIfAbsent(server, (key) -> PermitIssuer.create(perSecond, nowMs));
	}

	double nextSendMs(SimulatedBackend server) {
		return this.nextSendsMs.getOrDefault(server, 0.0);
	}

	void setNextSendMs(SimulatedBackend server, double atMs) {
		this.nextSendsMs.put(server, atMs);
	}

	boolean isRunning() {
		return this.running;
	}

	int life() {
		return this.life;
	}

	double startedAtMs() {
		return this.startedAtMs;
	}

	double stoppedAtMs() {
		return this.stoppedAtMs;
	}

	boolean isExcused(double nowMs) {
		return nowMs < this.excusedUntilMs;
	}

	void excuseUntil(double untilMs) {
		this.excusedUntilMs = Math.max(this.excusedUntilMs, untilMs);
	}

	void stop(double nowMs) {
		this.running = false;
		this.stoppedAtMs = nowMs;
	}

	void resume() {
		this.running = true;
	}

	void restart(double nowMs) {
		this.running = true;
		this.startedAtMs = nowMs;
		this.life++;
		this.limits.clear();
		this.permits.clear();
		this.issuers.clear();
		this.nextSendsMs.clear();
	}

}
