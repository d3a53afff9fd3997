package org.fulmargap.entry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against stalls of the event loop that are not noticed or count too long.
 */
class StallMeterTests {

	private final StallMeter meter = new StallMeter();

	@Test
	void nothingIsStalledBeforeTheFirstTickOrBetweenTicksInTime() {
		assertThat(this.meter.unreadMs(5_000)).isZero();
		this.meter.ticked(5_000);
		this.meter.ticked(5_149);
		assertThat(this.meter.recentStallMs(5_298)).isZero();
	}

	@Test
	void anOverdueTickIsAStallUntilTheTickAfterIt() {
		this.meter.ticked(1_000);
		assertThat(this.meter.unreadMs(1_950)).isEqualTo(900);
		assertThat(this.meter.ticked(1_960)).isEqualTo(910);
		assertThat(this.meter.unreadMs(1_970)).isEqualTo(920);
		this.meter.polled(1_000);
		assertThat(this.meter.unreadMs(1_970)).isEqualTo(920);
		this.meter.polled(1_960);
		assertThat(this.meter.unreadMs(1_970)).isZero();
		assertThat(this.meter.recentStallMs(1_970)).isEqualTo(910);
		this.meter.ticked(2_010);
		assertThat(this.meter.recentStallMs(2_010)).isZero();
	}

}
