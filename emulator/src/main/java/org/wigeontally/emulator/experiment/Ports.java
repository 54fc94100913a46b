package org.wigeontally.emulator.experiment;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import org.wigeontally.schema.generated.Address;

/**
 * Hands out free ports on the loopback address, below those that the machine gives to
 * outgoing connections.
 */
public final class Ports {

	/** The loopback address. */
	public static final String LOOPBACK = "127.0.0.1";

	private static final int LOWEST = 12_000;

	private static final int HIGHEST = 32_000;

	private static final Set<Integer> taken = new HashSet<>();

	private Ports() {
	}

	/**
	 * Returns an address that nothing listens on.
	 * @return the address
	 * @throws IOException if no port is free
	 */
	public static synchronized Address free() throws IOException {
		while (true) {
			try (ServerSocket socket = new ServerSocket()) {
				int port = ThreadLocalRandom.current().nextInt(LOWEST, HIGHEST);
				socket.setReuseAddress(true);
				socket.bind(new InetSocketAddress(InetAddress.getByName(LOOPBACK), port));
				if (taken.add(port)) {
					return Address.newBuilder().setIp(LOOPBACK).setPort(port).build();
				}
			}
			catch (BindException ex) {
				continue;
			}
		}
	}

}
