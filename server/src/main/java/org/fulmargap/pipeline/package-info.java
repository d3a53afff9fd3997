/**
 * Execution of the stages of a request.
 */
package org.fulmargap.pipeline;
