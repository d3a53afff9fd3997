package org.fulmargap.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmargap.admission.AdmissionListener;
import org.fulmargap.admission.AdmissionRequest;
import org.fulmargap.admission.StageBudgets;
import org.fulmargap.config.Configuration;
import org.fulmargap.config.EndpointSpec;
import org.fulmargap.config.PipelineSpec;
import org.fulmargap.config.StageKind;
import org.fulmargap.config.StageSpec;
import org.fulmargap.request.Deadline;
import org.fulmargap.request.FulmargapException;
import org.fulmargap.request.Priority;
import org.fulmargap.routing.AdaptiveRouter;
import org.fulmargap.routing.RouterSettings;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against expected durations that are too long, so that all requests are refused
 * and no result corrects the expectation.
 */
class AdmissionPoolsTests {

	private static final PipelineSpec PIPELINE = new PipelineSpec(true, 1000,
			List.of(new StageSpec("x", StageKind.ENCODE, "s", 0)));

	private final List<AdmissionListener.Permit> admitted = new ArrayList<>();

	private final List<FulmargapException> refused = new ArrayList<>();

	private final AdmissionPools pools;

	AdmissionPoolsTests() {
		AdaptiveRouter router = new AdaptiveRouter(new RouterSettings("v1", "d1", 4, 1, 1));
		router.update(
				new Configuration(Map.of(), Map.of(),
						Map.of("e1", new EndpointSpec("s", "d1", "http://127.0.0.1:1", 4, null))),
				Set.of(), List.of("v1"), 0);
		this.pools = new AdmissionPools(router, new StageBudgets(router::expectedStageMs), 8, () -> 0);
	}

	private void admit(long expectedMs) {
		this.pools.admit(PIPELINE, new AdmissionRequest("a", 1, Priority.NORMAL, new Deadline(1000), expectedMs), 0,
				new AdmissionListener() {

					@Override
					public void admitted(Permit permit) {
						AdmissionPoolsTests.this.admitted.add(permit);
					}

					@Override
					public void refused(FulmargapException refusal) {
						AdmissionPoolsTests.this.refused.add(refusal);
					}

				});
	}

	@Nested
	class Trials {

		@Test
		void oneRequestAtATimeIsAdmittedAlthoughItIsExpectedToBeLate() {
			admit(5000);
			admit(5000);
			assertThat(AdmissionPoolsTests.this.admitted).hasSize(1);
			assertThat(AdmissionPoolsTests.this.refused).extracting(FulmargapException::reason)
				.containsExactly("DEADLINE_UNREACHABLE");
			AdmissionPoolsTests.this.admitted.get(0).release(10);
			admit(5000);
			assertThat(AdmissionPoolsTests.this.admitted).hasSize(2);
		}

		@Test
		void requestsExpectedToMeetTheirDeadlineAreNotLimited() {
			admit(10);
			admit(10);
			assertThat(AdmissionPoolsTests.this.admitted).hasSize(2);
		}

	}

}
