"""An example load file, as `figspread-load example` prints it."""

from typing import Final

# One in fifty prompts has more than 100,000 tokens: the 1.11 % of the longest
# class, and 17.8 % of the prompts of the class before it, as lengths within a
# class are log-uniform.
EXAMPLE_LOAD_FILE: Final = """\
model = 'figspread-small'
requests_per_s = 5
duration_s = 30
seed = 1
output_tokens = 64
time_limit_s = 60
threads = 200
# How often a refused request comes back when it was told to.
comebacks = 0

[prefixes]
share = 0.5
count = 20
tokens = 900

[[classes]]
length = '1k-4k'
share = 0.7
from_tokens = 1000
to_tokens = 4000

[[classes]]
length = '4k-32k'
share = 0.2389
from_tokens = 4000
to_tokens = 32000

[[classes]]
length = '32k-128k'
share = 0.05
from_tokens = 32000
to_tokens = 128000

[[classes]]
length = '128k-1M'
share = 0.0111
from_tokens = 128000
to_tokens = 1000000

[[workspaces]]
name = 'studio'
share = 0.5

[[workspaces]]
name = 'fact-check'
share = 0.3

[[workspaces]]
name = 'radio'
share = 0.1

[[workspaces]]
name = 'partner-desk'
share = 0.1

[[services]]
name = 'orders'
method = 'POST'
path = '/jobs'
body = '{"copies": 1}'
requests_per_s = 0.5
"""
