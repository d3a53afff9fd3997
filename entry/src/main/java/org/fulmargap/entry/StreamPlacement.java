package org.fulmargap.entry;

import java.util.Locale;

/**
 * Where a stream that a caller takes up may go on.
 *
 * @param kind what is known of its origin
 * @param softwareVersion the only version at which it may go on, or an empty string
 */
public record StreamPlacement(Kind kind, String softwareVersion) {

	/** At any endpoint: all that served lately have the same version. */
	public static final StreamPlacement ANYWHERE = new StreamPlacement(Kind.ANYWHERE, "");

	/** Nowhere: it may have begun at any of several versions. */
	public static final StreamPlacement UNKNOWN = new StreamPlacement(Kind.UNKNOWN, "");

	/**
	 * Creates a placement at the endpoints of one version.
	 * @param softwareVersion the version
	 * @return the placement
	 */
	public static StreamPlacement at(String softwareVersion) {
		return new StreamPlacement(Kind.ONE_VERSION, softwareVersion);
	}

	/**
	 * What is known of the origin of a stream.
	 */
	public enum Kind {

		/** It began at a known version. */
		ONE_VERSION,

		/** Only one version served lately. */
		ANYWHERE,

		/** Several versions served lately, and it isn't known which one began it. */
		UNKNOWN;

		String metric() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}
