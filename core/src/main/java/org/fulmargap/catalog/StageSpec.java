package org.fulmargap.catalog;

import java.util.List;

/**
 * One stage of a pipeline, which must be done before the request itself can run.
 *
 * @param service the name of the service that runs the stage
 * @param dependencies the indexes of the stages whose results it needs
 * @param resultBytes the approximate size of the result of one work item in bytes
 */
public record StageSpec(String service, List<Integer> dependencies, long resultBytes) {

	/**
	 * Creates a stage.
	 */
	public StageSpec {
		dependencies = List.copyOf(dependencies);
	}

}
