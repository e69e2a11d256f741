package org.almondmount.settings;

/**
 * A validation error in a settings file.
 *
 * @param path path of the setting in the file, such as {@code tokens.customers[0].token}
 * @param found description of the value found; never contains secrets
 * @param allowed description of the allowed values
 * @param remedy how to correct it
 */
public record SettingsFault(String path, String found, String allowed, String remedy) {

	/**
	 * Formats the fault as a readable message.
	 * @return a single line
	 */
	public String line() {
		return this.path + ": found " + this.found + "; allowed: " + this.allowed + "; " + this.remedy;
	}

}
