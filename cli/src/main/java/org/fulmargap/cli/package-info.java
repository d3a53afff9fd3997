/**
 * Command-line interface for operators.
 */
package org.fulmargap.cli;
