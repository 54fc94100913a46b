package org.wigeontally.settings;

import java.util.Optional;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

import org.wigeontally.schema.generated.Address;

/**
 * Parses and formats addresses. Only IP addresses are accepted; host names are never
 * resolved.
 */
public final class Addresses {

	private Addresses() {
	}

	/**
	 * Parses an address.
	 * @param text an IP address and port, such as "127.0.0.1:7000" or "[::1]:7000"
	 * @return the address, or empty if the text is not an IP address and port
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
	 * Formats an address.
	 * @param address the address
	 * @return the IP address and port as text
	 */
	public static String format(Address address) {
		// Every message between hosts needs this; only IPv6 addresses have to be
		// examined.
		if (address.getIp().indexOf(':') < 0) {
			return address.getIp() + ':' + address.getPort();
		}
		return HostAndPort.fromParts(address.getIp(), address.getPort()).toString();
	}

}
