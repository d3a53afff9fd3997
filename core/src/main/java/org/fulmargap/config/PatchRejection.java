package org.fulmargap.config;

/**
 * Reasons for the rejection of a patch.
 */
public enum PatchRejection {

	/** The expected version is not the version in force. */
	STALE_VERSION,

	/** The patched document is not valid. */
	INVALID,

	/** Another patch is pending. */
	CONFLICT,

	/** Not every member acknowledged the patch in time. */
	NOT_ACKNOWLEDGED;

	/**
	 * Returns whether the same patch may succeed if it is proposed again.
	 * @return {@code false} for an invalid patch
	 */
	public boolean isTransient() {
		return this != INVALID;
	}

}
