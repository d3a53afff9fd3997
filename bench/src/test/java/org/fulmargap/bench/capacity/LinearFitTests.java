package org.fulmargap.bench.capacity;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against capacity figures that are computed from a wrong fit.
 */
class LinearFitTests {

	@Nested
	class Fit {

		@Test
		void findsTheLineThroughExactPoints() {
			LinearFit fit = LinearFit
				.fit(List.of(new LinearFit.Point(1, 5), new LinearFit.Point(3, 9), new LinearFit.Point(10, 23)));
			assertThat(fit.slope()).isCloseTo(2, within(1e-9));
			assertThat(fit.intercept()).isCloseTo(3, within(1e-9));
			assertThat(fit.rSquared()).isCloseTo(1, within(1e-9));
		}

		@Test
		void reportsAPoorFit() {
			LinearFit fit = LinearFit
				.fit(List.of(new LinearFit.Point(1, 0), new LinearFit.Point(2, 9), new LinearFit.Point(3, 0)));
			assertThat(fit.rSquared()).isLessThan(0.1);
		}

		@Test
		void rejectsPointsOfOneSize() {
			assertThatIllegalArgumentException()
				.isThrownBy(() -> LinearFit.fit(List.of(new LinearFit.Point(1, 0), new LinearFit.Point(1, 9))));
		}

	}

}
