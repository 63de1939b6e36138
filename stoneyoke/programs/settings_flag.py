"""The command-line flag that names the settings file, for all programs that read one."""

from absl import flags

SETTINGS = flags.DEFINE_string(
    "settings", None, "The settings file. Default: the file that the environment variable STONEYOKE_NODE_FILE names."
)
