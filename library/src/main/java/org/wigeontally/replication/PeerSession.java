package org.wigeontally.replication;

import org.wigeontally.schema.generated.ExchangeReply;

/**
 * State of the exchanges of this process with one peer address. Only
 * {@link ExchangeProtocol} modifies it.
 */
public final class PeerSession {

	private final String address;

	private String host = "";

	private String process = "";

	private long tableVersion;

	private long acknowledgedSequence;

	private PeerSession(String address) {
		this.address = address;
	}

	/**
	 * Creates a session before the first exchange.
	 * @param address address of the peer
	 * @return the session
	 */
	public static PeerSession forAddress(String address) {
		return new PeerSession(address);
	}

	/**
	 * Returns the peer's address.
	 * @return an IP address and port
	 */
	public String address() {
		return this.address;
	}

	/**
	 * Returns the name of the peer's host.
	 * @return the name; empty before the first reply
	 */
	public String host() {
		return this.host;
	}

	String process() {
		return this.process;
	}

	long tableVersion() {
		return this.tableVersion;
	}

	boolean needsState(long sequence) {
		return this.process.isEmpty() || this.acknowledgedSequence < sequence;
	}

	boolean isNewProcess(ExchangeReply reply) {
		return !reply.getFrom().getProcess().equals(this.process);
	}

	void recordReply(ExchangeReply reply, long sequenceSent) {
		if (isNewProcess(reply)) {
			this.acknowledgedSequence = 0;
		}
		this.host = reply.getFrom().getHost();
		this.process = reply.getFrom().getProcess();
		this.tableVersion = reply.getTable();
		this.acknowledgedSequence = reply.getWantsState() ? 0 : Math.max(this.acknowledgedSequence, sequenceSent);
	}

}
