package org.wigeontally.emulator.experiment;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

import org.wigeontally.schema.generated.Address;

/**
 * Hands out free ports on the loopback address, below those that the machine gives to
 * outgoing connections. A port is free until its user listens on it, so two processes
 * must not choose from the same ones. Each process therefore claims blocks of ports, by
 * listening on the first port of a block until it ends.
 */
public final class Ports {

	/** The loopback address. */
	public static final String LOOPBACK = "127.0.0.1";

	private static final int LOWEST = 12_000;

	private static final int BLOCKS = 40;

	private static final int BLOCK_SIZE = 500;

	// One for each claimed block, never closed.
	private static final List<ServerSocket> claims = new ArrayList<>();

	private static int next;

	private static int end;

	private Ports() {
	}

	/**
	 * Returns an address that nothing listens on.
	 * @return the address
	 * @throws IOException if no port is free
	 */
	public static synchronized Address free() throws IOException {
		while (true) {
			if (next == end) {
				claimBlock();
			}
			int port = next++;
			try (ServerSocket socket = listen(port)) {
				return Address.newBuilder().setIp(LOOPBACK).setPort(port).build();
			}
			catch (BindException ex) {
				continue;
			}
		}
	}

	private static void claimBlock() throws IOException {
		int first = ThreadLocalRandom.current().nextInt(BLOCKS);
		for (int i = 0; i < BLOCKS; i++) {
			int start = LOWEST + (first + i) % BLOCKS * BLOCK_SIZE;
			try {
				claims.add(listen(start));
				next = start + 1;
				end = start + BLOCK_SIZE;
				return;
			}
			catch (BindException ex) {
				continue;
			}
		}
		reuseClaimedBlock();
	}

	// The ports that were handed out first are the likeliest to be free again.
	private static void reuseClaimedBlock() throws IOException {
		if (claims.isEmpty()) {
			throw new IOException("other processes have claimed all ports from " + LOWEST + " on");
		}
		ServerSocket oldest = claims.remove(0);
		claims.add(oldest);
		next = oldest.getLocalPort() + 1;
		end = oldest.getLocalPort() + BLOCK_SIZE;
	}

	private static ServerSocket listen(int port) throws IOException {
		ServerSocket socket = new ServerSocket();
		try {
			socket.setReuseAddress(true);
			socket.bind(new InetSocketAddress(InetAddress.getByName(LOOPBACK), port));
			return socket;
		}
		catch (IOException ex) {
			socket.close();
			throw ex;
		}
	}

}
