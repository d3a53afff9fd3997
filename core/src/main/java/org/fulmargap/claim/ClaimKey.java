package org.fulmargap.claim;

import java.util.Objects;

/**
 * Identity of a non-idempotent request: the idempotency key within a client account.
 *
 * @param account the name of the client account
 * @param key the idempotency key, 1 to 128 visible ASCII characters
 */
public record ClaimKey(String account, String key) {

	/** The maximum length of an idempotency key in characters. */
	public static final int MAX_KEY_CHARS = 128;

	/**
	 * Checks the components.
	 */
	public ClaimKey {
		Objects.requireNonNull(account, "account");
		Objects.requireNonNull(key, "key");
		if (!isValidKey(key)) {
			throw new IllegalArgumentException("key must be 1 to 128 visible ASCII characters");
		}
	}

	/**
	 * Returns whether a string is a valid idempotency key.
	 * @param key the string
	 * @return {@code true} if the string has 1 to 128 visible ASCII characters
	 */
	public static boolean isValidKey(String key) {
		return !key.isEmpty() && key.length() <= MAX_KEY_CHARS && key.chars().allMatch((c) -> c > 0x20 && c < 0x7f);
	}

}
