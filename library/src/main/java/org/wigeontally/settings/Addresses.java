package org.wigeontally.settings;

import java.util.Optional;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

import org.wigeontally.schema.generated.Address;

/**
 * Reading and writing of addresses. Only IP numbers are taken; names are never resolved.
 */
public final class Addresses {

	private Addresses() {
	}

	/**
	 * Reads an address.
	 * @param text an IP number and port, such as "127.0.0.1:7000" or "[::1]:7000"
	 * @return the address, or empty if the text is none
	 */
	public static Optional<Address> parse(String text) {
		try {
			HostAndPort parsed = HostAndPort.fromString(text);
			if (!parsed.hasPort() || !InetAddresses.isInetAddress(parsed.getHost())) {
				return Optional.empty();
			}
			return Optional.of(Address.newBuilder().setIp(parsed.getHost()).setPort(parsed.getPort()).build());
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Writes an address.
	 * @param address the address
	 * @return text of the IP number and port
	 */
	public static String format(Address address) {
		return HostAndPort.fromParts(address.getIp(), address.getPort()).toString();
	}

}
