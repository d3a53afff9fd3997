/**
 * The operators' command line.
 */
package org.fulmargap.cli;
