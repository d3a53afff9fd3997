package org.fulmargap.http;

import org.fulmargap.admission.AdmissionListener;
import org.fulmargap.admission.AdmissionRequest;
import org.fulmargap.config.PipelineSpec;

/**
 * Decides about the admission of requests, separately for each pipeline.
 */
@FunctionalInterface
public interface Admission {

	/**
	 * Requests a slot.
	 * @param pipeline the pipeline that the request will run
	 * @param request the request
	 * @param nowMs the current time in milliseconds since the epoch
	 * @param listener receives the decision, exactly once
	 */
	void admit(PipelineSpec pipeline, AdmissionRequest request, long nowMs, AdmissionListener listener);

}
