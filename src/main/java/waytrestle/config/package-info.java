/**
 * Reads and validates the TOML configuration of the gateway, {@link
 * waytrestle.config.GatewayConfig}, and the files of webhook secrets that it names.
 *
 * <p>All errors that are found in a configuration file are reported together, in one {@link
 * waytrestle.config.ConfigException}. {@link waytrestle.config.TomlFile} and {@link
 * waytrestle.config.Section} also read TOML files of other kinds.
 */
package waytrestle.config;
