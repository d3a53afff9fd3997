package org.fulmargap.catalog;

import java.util.List;

/**
 * One stage of a pipeline that must be done before the request itself can run.
 *
 * @param service the service whose endpoints do the work
 * @param after the indexes of the stages whose results it needs
 * @param resultBytes the approximate size of the result of one piece in bytes
 */
public record StageSpec(String service, List<Integer> after, long resultBytes) {

	/**
	 * Creates a stage.
	 */
	public StageSpec {
		after = List.copyOf(after);
	}

}
