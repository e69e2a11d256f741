/**
 * How documents and rows are written as JSON and read strictly.
 */
package org.almondmount.daemon.entry.json;
