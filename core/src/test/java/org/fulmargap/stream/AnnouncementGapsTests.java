package org.fulmargap.stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against announcements that were missed and are not read before they are needed,
 * and against reads that nothing calls for.
 */
class AnnouncementGapsTests {

	private static final long AT_MS = 100_000;

	private final AnnouncementGaps gaps = new AnnouncementGaps();

	@Test
	void nothingIsReadWithoutAGap() {
		assertThat(this.gaps.isOpen(AT_MS)).isFalse();
	}

	@Test
	void aGapIsReadWhileItCounts() {
		this.gaps.missed(AT_MS);
		assertThat(this.gaps.isOpen(AT_MS)).isTrue();
		assertThat(this.gaps.isOpen(AT_MS + ServiceVersions.LATELY_MS - 1)).isTrue();
		assertThat(this.gaps.isOpen(AT_MS + ServiceVersions.LATELY_MS)).isFalse();
	}

	@Test
	void aReadBeforeAllIsWrittenDoesNotCloseAGap() {
		this.gaps.missed(AT_MS);
		this.gaps.read(AT_MS + 100);
		assertThat(this.gaps.isOpen(AT_MS + 349)).isFalse();
		assertThat(this.gaps.isOpen(AT_MS + 350)).isTrue();
	}

	@Test
	void versionsAreUnknownUntilSomethingWasReadAfterTheGap() {
		assertThat(this.gaps.isUnread(AT_MS)).isFalse();
		this.gaps.read(AT_MS - 1);
		this.gaps.missed(AT_MS);
		assertThat(this.gaps.isUnread(AT_MS + 1)).isTrue();
		this.gaps.read(AT_MS + 100);
		assertThat(this.gaps.isUnread(AT_MS + 101)).isFalse();
	}

	@Test
	void oneLaterReadClosesAGap() {
		this.gaps.missed(AT_MS);
		this.gaps.read(AT_MS + 1_500);
		assertThat(this.gaps.isOpen(AT_MS + 10_000)).isFalse();
	}

	@Test
	void aGapAfterAReadIsOpen() {
		this.gaps.missed(AT_MS);
		this.gaps.read(AT_MS + 2_000);
		this.gaps.missed(AT_MS + 3_000);
		assertThat(this.gaps.isOpen(AT_MS + 3_000)).isTrue();
	}

}
