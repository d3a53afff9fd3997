package org.fulmargap.ledger;

/**
 * Settings of the configuration service.
 *
 * @param patchTimeoutMs the age in milliseconds above which the proposer aborts a patch
 * @param snapshotEveryMs the age in milliseconds above which a snapshot is replaced if
 * records follow it
 * @param snapshotRecords the number of following records above which a snapshot is
 * replaced
 * @param snapshotRankMs how much longer, in milliseconds, each member waits than the
 * member before it until it appends a snapshot that is due
 */
public record ConfigSettings(long patchTimeoutMs, long snapshotEveryMs, int snapshotRecords, long snapshotRankMs) {

	/**
	 * Checks the components.
	 */
	public ConfigSettings {
		if (patchTimeoutMs <= 0 || snapshotEveryMs <= 0 || snapshotRecords <= 0 || snapshotRankMs < 0) {
			throw new IllegalArgumentException(
					"patchTimeoutMs, snapshotEveryMs and snapshotRecords must be positive, snapshotRankMs not negative");
		}
	}

	/**
	 * Creates settings with the default number of records and rank delay.
	 * @param patchTimeoutMs the age in milliseconds above which the proposer aborts a
	 * patch
	 * @param snapshotEveryMs the age in milliseconds above which a snapshot is replaced
	 * if records follow it
	 * @return the settings
	 */
	public static ConfigSettings of(long patchTimeoutMs, long snapshotEveryMs) {
		return new ConfigSettings(patchTimeoutMs, snapshotEveryMs, 200, 500);
	}

}
