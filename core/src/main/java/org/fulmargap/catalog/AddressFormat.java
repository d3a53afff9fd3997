package org.fulmargap.catalog;

import java.util.regex.Pattern;

/**
 * The format of addresses that other processes state.
 */
public final class AddressFormat {

	private static final int MAX_LENGTH = "255.255.255.255:65535".length();

	private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])";

	private static final String PORT = "(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})";

	// Addresses from 224 on belong to no single host, and 0 names no host.
	private static final Pattern HOST_ADDRESS = Pattern
		.compile("(22[0-3]|2[01][0-9]|1[0-9][0-9]|[1-9][0-9]?)(\\." + OCTET + "){3}:" + PORT);

	private AddressFormat() {
	}

	/**
	 * Returns whether a text is the address of a TCP port of one host: four decimal
	 * octets, a colon and a port from 1 to 65535, without leading zeros. Other texts may
	 * fail as socket addresses or make the resolver look up a name.
	 * @param text the text
	 * @return {@code true} if it is one
	 */
	public static boolean isHostAddress(String text) {
		return text.length() <= MAX_LENGTH && HOST_ADDRESS.matcher(text).matches();
	}

}
