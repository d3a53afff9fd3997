package org.fulmargap.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ExplainCommand}.
 */
class ExplainCommandTests {

	private final StringWriter out = new StringWriter();

	private final StringWriter err = new StringWriter();

	@TempDir
	private Path directory;

	private int explain(String id, String... logs) throws IOException {
		String[] args = new String[2 + logs.length];
		args[0] = "explain";
		args[1] = id;
		for (int i = 0; i < logs.length; i++) {
			args[2 + i] = Files.writeString(this.directory.resolve("vm-" + i + ".log"), logs[i]).toString();
		}
		CommandLine line = FulmargapCtl.commandLine();
		line.setOut(new PrintWriter(this.out, true));
		line.setErr(new PrintWriter(this.err, true));
		return line.execute(args);
	}

	@Test
	void aRefusalIsExplainedByItsCause() throws IOException {
		int code = explain("a1", """
				at=10:00:00.200 level=INFO event=refused request=a1 reason=OVERLOADED age_ms=0 calls=0 runs=0
				at=10:00:00.100 level=INFO event=not_admitted request=a1 stages_ms=2600 objective_ms=1900 rank=1
				at=10:00:00.300 level=INFO event=refused request=a11 reason=NO_ROUTE config_version=3
				""");
		assertThat(code).isZero();
		assertThat(this.out.toString().lines().findFirst()).contains("refused as OVERLOADED after 0 ms, 0 run(s); "
				+ "cause: its stages would have taken 2600 ms, its objective is 1900 ms");
		assertThat(this.out.toString()).doesNotContain("a11");
	}

	@Test
	void aPathThatLooksLikeFieldsDoesNotChangeTheExplanation() throws IOException {
		explain("a1", """
				at=10:00:00.200 level=INFO event=refused request=a1 reason=NO_ROUTE config_version=3 config_age_ms=70 \
				host="h x\\\\" path="/x event=answered request=a2" age_ms=0 runs=0
				""");
		assertThat(this.out.toString())
			.startsWith("refused as NO_ROUTE after 0 ms, 0 run(s), by configuration 3 in force for 70 ms"
					+ System.lineSeparator());
	}

	@Test
	void linesOfSeveralVmsAreSortedByTime() throws IOException {
		explain("a1", "at=10:00:01.000 event=answered request=a1 status=200 age_ms=900 runs=1\n",
				"at=10:00:00.500 event=piece_failed request=a1 service=s stage=0 endpoint=e reason=NO_ROOM\n");
		assertThat(this.out.toString().lines().toList()).hasSize(3)
			.element(1)
			.asString()
			.startsWith("vm-1.log")
			.contains("piece_failed");
	}

	@Test
	void anUnknownRequestIsAnError() throws IOException {
		assertThat(explain("a1", "")).isEqualTo(1);
		assertThat(this.err.toString()).contains("no line of request a1");
	}

}
