package org.fulmargap.bench;

import java.io.PrintWriter;
import java.io.StringWriter;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against results that are not reproducible with the same seed, and against a
 * policy that loses requests, runs an action twice, or lets one request crash more than
 * two endpoints.
 */
class MeasureTests {

	private static String run(String scenario) {
		StringWriter out = new StringWriter();
		CommandLine commandLine = Measure.commandLine().setOut(new PrintWriter(out));
		assertThat(commandLine.execute("--quick", "--scenario", scenario)).isZero();
		return out.toString();
	}

	@Nested
	class Runs {

		@Test
		void theSameSeedGivesTheSameOutput() {
			assertThat(run("domain_out_and_back")).isEqualTo(run("domain_out_and_back"));
		}

		@Test
		void thePolicyLetsACrashingRequestCrashTwoEndpoints() {
			assertThat(run("crashing_request").lines()
				.filter((line) -> line.startsWith("scenario=") && line.contains("policy=fulmargap"))).hasSize(3)
				.allSatisfy((line) -> assertThat(line).contains(" lost=0 doubled=0 ", " crashes=2 "));
		}

		@Test
		void onlyTheBaselineRunsActionsTwiceWhenAnswersAreLost() {
			assertThat(run("log_out").lines().filter((line) -> line.startsWith("summary=")))
				.anySatisfy((line) -> assertThat(line).contains("policy=fulmargap").endsWith("lost=0 doubled=0"))
				.anySatisfy((line) -> assertThat(line).contains("policy=baseline").doesNotContain("doubled=0"));
		}

	}

}
