/**
 * Execution of the stages of requests.
 */
package org.fulmargap.pipeline;
