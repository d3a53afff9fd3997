package org.fulmargap.ledger;

/**
 * Settings of the configuration service.
 *
 * @param patchTimeoutMs after what time the proposer gives up a patch
 * @param snapshotEveryMs the age above which a snapshot is replaced if records follow it
 * @param snapshotRecords the number of following records above which it is replaced
 * @param snapshotRankMs by how much longer each member waits than the one before it
 */
public record ConfigSettings(long patchTimeoutMs, long snapshotEveryMs, int snapshotRecords, long snapshotRankMs) {

	/**
	 * Checks the components.
	 */
	public ConfigSettings {
		if (patchTimeoutMs <= 0 || snapshotEveryMs <= 0 || snapshotRecords <= 0 || snapshotRankMs < 0) {
			throw new IllegalArgumentException("times and counts must be positive");
		}
	}

	/**
	 * Creates settings with the default number of records and rank delay.
	 * @param patchTimeoutMs after what time the proposer gives up a patch
	 * @param snapshotEveryMs the age above which a snapshot is replaced if records follow
	 * it
	 * @return the settings
	 */
	public static ConfigSettings of(long patchTimeoutMs, long snapshotEveryMs) {
		return new ConfigSettings(patchTimeoutMs, snapshotEveryMs, 200, 500);
	}

}
