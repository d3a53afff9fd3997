package org.fulmargap.bench.capacity;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against capacity figures that come from a wrong fit.
 */
class SlopeTests {

	@Nested
	class Fit {

		@Test
		void findsTheLineThroughExactPoints() {
			Slope slope = Slope.fit(List.of(new Slope.Point(1, 5), new Slope.Point(3, 9), new Slope.Point(10, 23)));
			assertThat(slope.perUnit()).isCloseTo(2, within(1e-9));
			assertThat(slope.intercept()).isCloseTo(3, within(1e-9));
			assertThat(slope.rSquared()).isCloseTo(1, within(1e-9));
		}

		@Test
		void reportsAPoorFit() {
			Slope slope = Slope.fit(List.of(new Slope.Point(1, 0), new Slope.Point(2, 9), new Slope.Point(3, 0)));
			assertThat(slope.rSquared()).isLessThan(0.1);
		}

		@Test
		void rejectsPointsOfOneSize() {
			assertThatIllegalArgumentException()
				.isThrownBy(() -> Slope.fit(List.of(new Slope.Point(1, 0), new Slope.Point(1, 9))));
		}

	}

}
