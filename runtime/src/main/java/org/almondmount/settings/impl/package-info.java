/**
 * Parsing and validation of settings files.
 */
package org.almondmount.settings.impl;
